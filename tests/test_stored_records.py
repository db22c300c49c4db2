"""The stored form of records: during a rolling restart, a newer controller reads the records of an older one."""

import cbor2
import msgspec

from builders import SchedulerHarness
from passrock.core.image_hints import decode_image_hints, encode_image_hints
from passrock.core.records import JobRecord, decode_record, encode_record, new_job_record
from passrock.wire import users
from standins.simulated_cluster import SimulatedCluster

# Records as an older release (commit 35152c8) wrote them.
JOB = (
    b'{"s":{"id":"wk-000412","c":"x","t":"t1","k":"array","p":1,"n":3,"r":[5.0,1.0,20.0],"i":"img-0","ig":2.0,'
    b'"ty":["box"],"z":"a","f":[false,false,false],"e":[10.0,0.0,0.0],"dl":900.0},"at":12.5,"a":0,"d":"0","l":{}}'
)
TASK_PAGE = b'{"a":5,"d":"2","l":{"2":[5,"m1",1]}}'
HINTS = b'[{"i":[["img",2.0]],"m":{"m1":[0]}}]'


def test_records_keep_their_stored_form():
    submission = SimulatedCluster.job(None, 412, dueS=900.0, volumes=3, bindings=["box"], branch="a")
    spec = users.parse_submission(cbor2.dumps(submission))
    assert msgspec.json.encode(encode_record(new_job_record(spec, 12.5))) == JOB

    harness = SchedulerHarness()
    machine = harness.inventory.machines["m1"]
    job = harness.job_table.load(decode_record(msgspec.json.decode(JOB), JobRecord), 7, 100.0, 20.0)
    harness.job_table.add_attempt(job, 1, machine, 4, 0.0)
    harness.job_table.record_attempt_completed(next(job.attempts()))
    harness.job_table.add_attempt(job, 2, machine, 5, 0.0)
    assert msgspec.json.encode(encode_record(job.page(0).to_record())) == TASK_PAGE
    machine.images["img"] = 2.0
    assert msgspec.json.encode(encode_image_hints(harness.inventory.machines.values(), 4)) == HINTS


def test_records_of_an_older_release_are_read():
    harness = SchedulerHarness()
    stored_value = {**msgspec.json.decode(JOB), **msgspec.json.decode(TASK_PAGE)}
    job = harness.job_table.load(decode_record(stored_value, JobRecord), 7, 100.0, 20.0)
    attempt = next(job.attempts())
    assert (job.spec.id, job.spec.deadline_s, job.submitted_at, job.completed_count) == ("wk-000412", 900.0, 12.5, 1)
    assert (attempt.index, attempt.number, attempt.machine, attempt.incarnation, attempt.placed_this_term) == (
        2,
        5,
        "m1",
        1,
        False,
    )
    harness.inventory.load_image_hints(decode_image_hints(msgspec.json.decode(HINTS)[0]))
    assert harness.inventory.image_hints == {"m1": {"img": 2.0}}
