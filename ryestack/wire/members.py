"""The registry's list: its JSON form, where each endpoint is reached, and the watch that follows it."""

import asyncio
import json

import aiohttp
from loguru import logger

from .. import interface as it

LISTED = {"up": it.Listed.READY, "draining": it.Listed.DRAINING, "removed": it.Listed.GONE}
HOLD = 2.0  # seconds a watch may wait: the registry counts a change as told two seconds after it at most
SILENT = 1.0  # more, and the watch counts as broken
PAUSE = 0.1  # before the next call after a failure; a watch goes on within 200 ms


class BadList(Exception):
    """A list that cannot be read."""


def read_list(told: dict, known: dict[str, dict]) -> tuple[int, it.ListUpdate, dict[str, dict]]:
    """The version, what the decisions are told, and the rows by name; a row may leave out what is known."""
    try:
        index, whole = told["index"], told["snapshot"]
        rows = [{**known.get(row["name"], {}), **row} for row in told["endpoints"]]
        endpoints = tuple(
            it.Endpoint(
                str(row["name"]),
                str(row["zone"]),
                str(row["type"]),
                int(row["group"]),
                LISTED[row["status"]],
                float(row.get("weight", 1.0)),
            )
            for row in rows
        )
        return int(index), it.ListUpdate(endpoints, whole=whole is True), {row["name"]: row for row in rows}
    except (KeyError, TypeError, ValueError, AttributeError) as problem:
        raise BadList(f"{type(problem).__name__}: {problem}") from None


class Members:
    """Where endpoints are reached and of what kind they are, as last told."""

    def __init__(self):
        self.index, self.rows, self.groups = 0, {}, set()

    def learn(self, told: dict) -> it.ListUpdate:
        self.index, update, rows = read_list(told, self.rows)
        self.rows.update(rows)
        self.groups.update(e.destination for e in update.endpoints)
        return update

    def address(self, endpoint: str) -> str:
        return self.rows[endpoint]["address"]

    def kind(self, endpoint: str) -> str:
        return self.rows[endpoint]["type"]


async def watch(session: aiohttp.ClientSession, base: str, members: Members, tell) -> None:
    """Follow the list for as long as the process lives; a silent registry leaves the old one in force."""
    limit = aiohttp.ClientTimeout(total=HOLD + SILENT)
    well = True
    while True:
        query = {"from": str(members.index), "hold_ms": str(int(HOLD * 1000))}
        try:
            async with session.get(f"{base}/catalog/members", params=query, timeout=limit) as answer:
                body = await answer.read()
                if answer.status != 200:
                    raise BadList(f"status {answer.status}")
                update = members.learn(json.loads(body))
            if update.endpoints or update.whole:
                logger.info(
                    "list: version {}, {} entries, whole {}",
                    members.index,
                    len(update.endpoints),
                    update.whole,
                )
                tell(update)
            if not well:
                logger.info("list: the registry answers again")
            well = True
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, BadList) as problem:
            if well:
                logger.warning("list: the registry does not answer, the old list holds: {!r}", problem)
            well = False
            await asyncio.sleep(PAUSE)
