"""The process of a control machine, configured by the operator file and LB_STATE, until SIGTERM."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from ..control.machine import ControlMachine
from ..control.order import Machine
from ..control.storage_errors import BadStorage
from ..observe import log
from ..operator.schema import Control, Operator


def serve(chosen: Operator, environ=os.environ) -> int:
    """Run until a stop signal. Returns the exit status: 0 stopped, 1 a fault, 2 unusable configuration."""
    control, folder = chosen.control, environ.get("LB_STATE", "")
    log.setup(control.name, chosen.log.format, chosen.log.level, chosen.log.repeat)
    if not os.path.isdir(folder):
        return _refuse(f"LB_STATE is {folder or 'not set'}, must name an existing, persistent folder")
    try:
        asyncio.run(_run(control, Path(folder)))
    except (BadStorage, _AddressInUse) as error:
        return _refuse(str(error))
    except OSError as problem:
        log.event("relay.ended", why=str(problem))
        return 1
    except Exception:
        log.fault("relay.fault")
        return 1
    return 0


class _AddressInUse(Exception):
    """The machine cannot listen at its address."""


def _refuse(reason: str) -> int:
    print(f"ryestack: {reason}", file=sys.stderr)
    return 2


async def _run(control: Control, folder: Path) -> None:
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    machine = _make(control, folder)
    try:
        try:
            machine.bind()
        except OSError as problem:
            address = next(one.address for one in control.machines if one.name == control.name)
            raise _AddressInUse(f"{address}: {problem.strerror}") from None
        await machine.run(stop)
    finally:
        await machine.close()


def _make(control: Control, folder: Path) -> ControlMachine:
    return ControlMachine(
        cluster=control.cluster,
        name=control.name,
        machines=[Machine(one.name, one.address, one.region) for one in control.machines],
        voters=[one.name for one in control.machines if one.voter],
        folder=folder,
        hold=control.hold,
        replicas=control.replicas,
        clock=time.monotonic,
    )
