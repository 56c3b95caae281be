"""What a relay keeps: the ledger of owed messages and the journal that outlives the process."""
