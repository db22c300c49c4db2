"""The keys of passrock's records in the key-value store."""

ROOT = "p/"
JOB = "p/j/"
TASK_PAGE = "p/t/"
CANCELLATION = "p/c/"
FINAL = "p/f/"
PROVISIONING_INTENT = "p/q/"
RESERVATION = "p/r/"
RESERVATION_PAGE = "p/m/"
IMAGE_HINTS = "p/h/"
ALLOCATION = "p/a/"
LEADER = "p/lead"
TERM = "p/term"
PROBE = "p/none"  # never written: reading it returns the store's revision and shows that the store answers


def job(job_id: str) -> str:
    """Return the key of an unfinished job with its first page of tasks."""
    return JOB + job_id


def task_page(job_id: str, number: int) -> str:
    """Return the key of a page of a job's tasks; page 0 is part of the job's own record."""
    return f"{TASK_PAGE}{job_id}/{number}" if number else JOB + job_id


def reservation(team: str, page: int) -> str:
    """Return the key of a page of a team's reservation; a long list of machines spans several pages."""
    return f"{RESERVATION_PAGE}{page}/{team}" if page else RESERVATION + team


def reservation_team(key: str) -> str:
    """Return the team of a reservation's key."""
    return key[len(RESERVATION) :] if key.startswith(RESERVATION) else key[len(RESERVATION_PAGE) :].partition("/")[2]


def cancellation(job_id: str) -> str:
    """Return the key of a job's cancellation, which is committed before it is confirmed to the user."""
    return CANCELLATION + job_id


def final(job_id: str) -> str:
    """Return the key of a job's final record."""
    return FINAL + job_id


def allocation(slot: int, page: int) -> str:
    """Return the key of a page of a slot's allocation; the keys sort by slot."""
    return f"{ALLOCATION}{slot:012d}/{page:03d}"


def allocation_slot(key: str) -> tuple[int, int] | None:
    """Return the slot and page of an allocation's key, or None for a malformed one."""
    slot, _, page = key.removeprefix(ALLOCATION).partition("/")
    return (int(slot), int(page)) if slot.isdecimal() and page.isdecimal() else None
