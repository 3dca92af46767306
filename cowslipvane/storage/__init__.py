"""The data folder of a replica and the journal in it."""

from cowslipvane.storage._folder import (
    DataFolder,
    FolderBusy,
    FolderDamaged,
    FolderEmpty,
    FolderRefused,
    FolderUnreadable,
    Identity,
)
from cowslipvane.storage._journal import FileJournal, JournalFailed

__all__ = [
    "DataFolder",
    "FileJournal",
    "FolderBusy",
    "FolderDamaged",
    "FolderEmpty",
    "FolderRefused",
    "FolderUnreadable",
    "Identity",
    "JournalFailed",
]
