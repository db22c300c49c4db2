"""The keys under which passrock keeps its state."""

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
PROBE = "p/none"  # never written: reading it gives the store's revision and shows that the store answers


def job(job_id: str) -> str:
    """An unfinished job with its first tasks."""
    return JOB + job_id


def task_page(job_id: str, number: int) -> str:
    """Some of a job's tasks; the first ones are in the job's own record."""
    return f"{TASK_PAGE}{job_id}/{number}" if number else JOB + job_id


def reservation(team: str, page: int) -> str:
    """The machines of a team's reservation; what one record can't hold is on further pages."""
    return f"{RESERVATION_PAGE}{page}/{team}" if page else RESERVATION + team


def reservation_team(key: str) -> str:
    """Whose reservation a record is part of."""
    return key[len(RESERVATION) :] if key.startswith(RESERVATION) else key[len(RESERVATION_PAGE) :].partition("/")[2]


def cancellation(job_id: str) -> str:
    """The cancellation of a job, committed before it is confirmed to the user."""
    return CANCELLATION + job_id


def final(job_id: str) -> str:
    """How a job ended."""
    return FINAL + job_id


def allocation(slot: int, page: int) -> str:
    """One page of a slot's allocation; in the order of slots."""
    return f"{ALLOCATION}{slot:012d}/{page:03d}"


def allocation_slot(key: str) -> tuple[int, int] | None:
    """Slot and page of an allocation's key, or None when it isn't one."""
    slot, _, page = key.removeprefix(ALLOCATION).partition("/")
    return (int(slot), int(page)) if slot.isdecimal() and page.isdecimal() else None
