/** Shared constants, each with its unit in the name. */

/** Rounds of controller steps in one turn after which the loop stops the process: the controllers do not settle. */
export const MAX_ROUNDS_PER_TURN = 1000

/** Time without a renewal after which another host may take over a zone. */
export const HOLDER_LEASE_MS = 3000
export const HOLDER_RENEW_INTERVAL_MS = 1000
/** Delay after a failed renewal. An overloaded table refuses some calls; the lease leaves time for several retries. */
export const HOLDER_RETRY_DELAY_MS = 250

/** Deadline of one call about the holder's rows, short enough to retry a lost renewal before the lease expires. */
export const AUTHORITY_TIMEOUT_MS = 1500

/** Worker lease; a worker stops its tasks if the lease is not renewed for this long. */
export const WORKER_LEASE_MS = 10000
export const WORKER_RENEW_INTERVAL_MS = 1000

/** Time without an answer after which a worker is considered lost and the rest of its gangs is stopped. */
export const WORKER_LOST_MS = 4000

/** Added to a worker's lease before its tasks are considered stopped. */
export const LEASE_MARGIN_MS = 1000

/** Age up to which evidence that a zone is in service permits starts; the zone's `cutOffStartMs` may be longer. */
export const START_PERMIT_MS = 3000

/** A reservation that is not started expires after this time. */
export const RESERVATION_TTL_MS = 10000

export const BUNDLE_POLL_INTERVAL_MS = 1000
export const HOST_LIST_POLL_INTERVAL_MS = 1000

/** How often the holder reads its zone's whole list of active jobs; notices announce new jobs immediately. */
export const QUEUE_SCAN_INTERVAL_MS = 5000

/** Deadline of one call to the platform, a worker, an endpoint or a peer. */
export const PLATFORM_TIMEOUT_MS = 2000
export const WORKER_TIMEOUT_MS = 2000
export const ENDPOINT_TIMEOUT_MS = 5000
export const PEER_TIMEOUT_MS = 2000

/** First retry delay; it doubles with each retry up to the maximum, with full jitter. */
export const RETRY_BASE_MS = 200
export const RETRY_MAX_MS = 5000

/** Attempts of a repeatable job, on distinct workers, before it ends as failed. */
export const MAX_ATTEMPTS = 3

/** Longest a caller may hold one wait request open. */
export const MAX_WAIT_MS = 30000

/** Largest request body from a caller. */
export const MAX_BODY_BYTES = 262144

export const ACCELERATORS_PER_WORKER_MAX = 64

/** Number of ended jobs that a host keeps in memory for repeated requests. */
export const ENDED_JOBS_KEPT = 2000

/** How often a host reads the row of a job that a caller waits for, in case the notice of its end was lost. */
export const WAIT_POLL_INTERVAL_MS = 2000

/** Larger answers are written to the object store, and the row refers to them. */
export const ANSWER_INLINE_MAX_BYTES = 16384

/** How long acceptance is retried before the caller gets an unknown outcome. */
export const ACCEPT_TIMEOUT_MS = 8000

/** An unanswered start call is retried for this long after the claim; the task id makes it idempotent. */
export const START_TIMEOUT_MS = 3000

/** Interval at which an unanswered call about a gang member is retried. */
export const MEMBER_RETRY_INTERVAL_MS = 500

/** How long a borrower may take for a checkpoint before it is stopped without one. */
export const CHECKPOINT_TIMEOUT_MS = 5000

/** Time in the queue after which batch work gets normal priority. */
export const QUEUE_AGE_PROMOTION_MS = 3600000

/** Number of queued jobs that may reserve workers at the same time while they wait for capacity. */
export const MAX_BACKFILL_RESERVATIONS = 4

/** A job may run on a reserved worker if it would end in time even with this multiple of its expected run time. */
export const BACKFILL_MARGIN = 4

/** Number of concurrent moves of jobs from a zone that is out of service to other zones. */
export const REHOME_IN_FLIGHT_MAX = 32

/** Queue length up to which a zone keeps the jobs submitted in it, regardless of the queues of other zones. */
export const LOCAL_QUEUE_THRESHOLD = 64

/** A payload of this size halves the weight of a zone in another region. */
export const REGION_PAYLOAD_BYTES = 16384

/** How long a job that fits no worker of its zone waits for other workers before it ends as not run. */
export const NEVER_FITS_GRACE_MS = 30000

/** Concurrent commits of job rows per host: bounds of the window, and the share of it for new jobs. */
export const WRITE_WINDOW_MAX = 64
export const WRITE_WINDOW_MIN = 2
export const WRITE_WINDOW_ACCEPT_SHARE = 0.75

/** Weight of the latest observation in the mean run time of a service. */
export const RUN_TIME_WEIGHT = 0.2
export const RUN_TIME_MIN_SAMPLES = 3

/** Number of run time entries, one per workspace and service, that a host keeps. */
export const RUN_TIMES_KEPT = 2000

/** How long capacity is held for a job while its borrowers stop, before other borrowers are chosen. */
export const RECLAIM_TIMEOUT_MS = 10000

/** How often a job to move is selected, if the bundle enables defragmentation. */
export const DEFRAGMENT_INTERVAL_MS = 60000

/** Minimum run time of a job before it is moved. */
export const DEFRAGMENT_MIN_AGE_MS = 600000

/** How often holds are checked while nothing else changes. */
export const RECLAIM_CHECK_INTERVAL_MS = 500

/** Delay before a job whose gang was aborted is placed again. */
export const PLACEMENT_RETRY_DELAY_MS = 500

export const ENDPOINT_POLL_INTERVAL_MS = 1000
export const ENDPOINT_STATUS_TIMEOUT_MS = 1000

/** Time without an answer after which an endpoint gets no new calls. */
export const ENDPOINT_LOST_MS = 3000

/** How long an unanswered call is inspected before its outcome is reported as unknown. */
export const CALL_INSPECT_TIMEOUT_MS = 30000

export const PEER_EXCHANGE_INTERVAL_MS = 1000

/** Number of peers of its own zone that a host exchanges status with at every interval. */
export const PEER_FANOUT_OWN_ZONE = 8

/** Number of peers of other zones, in rotation, that a host exchanges status with at every interval. */
export const PEER_FANOUT_OTHERS = 3

/** Maximum number of jobs in the answer to a list request; the newest are returned. */
export const LIST_JOBS_MAX = 200

/** Maximum number of generations in one answer about the bundle's history. */
export const BUNDLE_HISTORY_MAX = 50

/** CPU cores that the holder of a domain of about 250 workers needs under peak load. */
export const HOLDER_CORES = 0.6

/**
 * How long a host with less CPU than that leaves a domain without a holder to larger hosts: enough for their take-over
 * to be seen, if all hosts saw the lease end.
 */
export const HOLDER_DEFERRAL_MS = 200
/** The same after an outage of the table, which large hosts may notice later by one read that is not answered. */
export const HOLDER_OUTAGE_DEFERRAL_MS = 1000
/** Hosts that see a domain without a holder take it over within this time, so that most see the new holder first. */
export const TAKE_OVER_SPREAD_MS = 100
/** Round trip to the table, with a new connection, from which a host counts as far from it. */
export const FAR_ROUND_TRIP_MS = 80
/** Round trip from which the table counts as slow, and how much longer than it hosts then wait for a renewal. */
export const SLOW_ROUND_TRIP_MS = 150
export const TAKE_OVER_PATIENCE_FACTOR = 10
export const TAKE_OVER_PATIENCE_MAX_MS = 3000
/** Deadline of a read of the holder's rows that waits for no change; with the retry delay below the outage deferral. */
export const HOLDER_READ_TIMEOUT_MS = 700
/** Shortest time between two long polls of the holder's rows. */
export const HOLDER_FOLLOW_INTERVAL_MIN_MS = 50

/**
 * Longest and shortest lease of a domain's holder. The longest spans two renewals on the slowest table encountered,
 * whose commits take 0.8 s.
 */
export const DOMAIN_LEASE_MS = 2000
export const DOMAIN_LEASE_MIN_MS = 1300
/** Number of renewals in the length of a lease, if none fails. */
export const DOMAIN_LEASE_RENEWALS = 3
/** Delay after a failed renewal, short enough for three of four to be refused by an overloaded table. */
export const DOMAIN_RETRY_DELAY_MS = 100
/** Deadline of a take-over: below the outage deferral, so that large hosts are not kept from their next one. */
export const DOMAIN_TAKE_OVER_TIMEOUT_MS = 900
/**
 * The holder stops sending commands to workers this long before its lease ends and another host may take over, so
 * that two hosts never send commands at the same time.
 */
export const DOMAIN_LEASE_MARGIN_MS = 200

/**
 * Longest lease of a domain's worker, long enough for runs to survive a change of holder. It is shorter where workers grant
 * less.
 */
export const NODE_LEASE_MS = 9500
/**
 * How long after the end of its confirmed term a holder still renews leases of workers. Another holder's term may have
 * begun by then, and counts with it.
 */
export const NODE_LEASE_GRACE_MS = 1800

/** Tolerated error of the rate of a worker's clock, as a fraction. */
export const WORKER_CLOCK_ERROR = 0.02

/** Added to a lease before the runs under it are considered stopped. */
export const NODE_LEASE_MARGIN_MS = 300

/** How long a worker holds a renewal open for a run to end; the lease is renewed at least as often. */
export const NODE_RENEW_WAIT_MS = 1500
/** Time beyond the wait after which a renewal is considered unanswered. */
export const NODE_ANSWER_TIMEOUT_MS = 1000
/** Delay after an unanswered renewal. */
export const NODE_RETRY_DELAY_MS = 250
/** Delay of the next renewal while the worker lists ends of runs that are not durable yet. */
export const NODE_UNSAVED_DELAY_MS = 200

/** The same while the table can't be written, so that nothing becomes durable. */
export const NODE_UNSAVED_OUTAGE_DELAY_MS = 1000

/** How often the domain's list of workers is read. */
export const WORKER_LIST_INTERVAL_MS = 800

/** Time after an outage of the platform within which the entries of living workers are back, and are read. */
export const ENTRIES_BACK_MS = 3000

/** How long the platform holds a long poll open for a change; an answer is evidence that nothing else changed. */
export const LONG_POLL_WAIT_MS = 900
/** Time beyond the wait after which a long poll is considered unanswered. */
export const LONG_POLL_ANSWER_TIMEOUT_MS = 800
/**
 * Bounds of the retry delay during an outage, which doubles at each failure: short enough to detect the end of the
 * outage quickly, long enough not to add to an overload.
 */
export const OUTAGE_RETRY_MIN_MS = 150
export const OUTAGE_RETRY_MAX_MS = 600

/** Age of the catalog's evidence from which a host considers the platform unreachable. */
export const CATALOG_FRESH_MS = 2300
/** Number of polls in a row whose failure means that the platform turns this host away; one may fail by chance. */
export const CATALOG_FAILED_POLLS_MAX = 2
/** Share of the revocation bound (`revokeMs`) for which keys are accepted without newer evidence. */
export const KEY_EVIDENCE_SHARE = 0.65

/** Deadline of one start or stop command for a run. An unanswered start is then repeated; starts are idempotent. */
export const RUN_COMMAND_TIMEOUT_MS = 700
/** Number of starts sent for one run before the run is given up. */
export const RUN_STARTS_MAX = 2
/** Bounds of the number of starts, and of first calls to workers, that a holder has in flight. */
export const CALL_WINDOW_MIN = 16
export const CALL_WINDOW_MAX = 512
/** Interval between stop requests for one run. */
export const RUN_STOP_INTERVAL_MS = 400

/** A worker that fails runs of this many workflows in a row is quarantined. */
export const NODE_FAILURES_MAX = 2
export const NODE_QUARANTINE_MS = 8000

/** How long a worker counts as slow after a report that shows it; workers report each 1.5 s. */
export const NODE_SLOW_MS = 3500

/**
 * A run that makes no progress for this time, and for this share of its estimate, is restarted on another worker.
 * Progress is reported in whole percents, and estimates are wrong by a factor of about three.
 */
export const RUN_STALL_MS = 2600
export const RUN_STALL_SHARE = 0.08

/** How often the runs on draining workers are checked. */
export const NODE_DRAIN_CHECK_INTERVAL_MS = 200
/** Allows for the stop of a run and for the age of the drain notice: the list of workers is read each 0.8 s. */
export const NODE_DRAIN_MARGIN_MS = 1000
/** Workers leave slightly later than they announce; a run that would end within this time is not stopped. */
export const NODE_DRAIN_GRACE_MS = 1500

/** Delay before the tasks of a step are placed again after a refused start. */
export const STEP_RETRY_DELAY_MS = 150

/** Limits of one workflow. The progress of each of its occurrences is written in one commit. */
export const WORKFLOW_TASKS_MAX = 2300
export const WORKFLOW_STEPS_MAX = 100
export const WORKFLOW_OCCURRENCES_MAX = 10000

/**
 * Tasks of accepted workflows that a holder keeps at a time, and bytes of their records. A workspace hands in no more to a
 * queue once its share is used up.
 */
export const DOMAIN_TASKS_MAX = 150_000
export const DOMAIN_RECORD_BYTES_MAX = 32_000_000
/** Retry delay sent to callers who may hand in no more for now. */
export const FULL_RETRY_AFTER_MS = 5000

/** Longest time for which a host repeats a caller's calls to the platform's table. */
export const INTAKE_REPEATED_MAX_MS = 60_000
/** How long tombstones are kept: a submission may be repeated that long, and the platform may carry out a commit late. */
export const TOMBSTONE_KEPT_MS = 2 * INTAKE_REPEATED_MAX_MS
/** Tombstones that a host writes in that time. */
export const TOMBSTONES_MAX = 1000

/** Limits of the platform's table on one commit: the conditions and changes in it, and its size as it is sent. */
export const COMMIT_ENTRIES_MAX = 100
export const COMMIT_BYTES_MAX = 1_000_000
/** Size of one row's value, and how many rows the progress of one occurrence takes at most; they fit into one commit. */
export const ROW_BYTES_MAX = 65536
export const PROGRESS_ROWS_MAX = 10
/** Deadline of a commit of the holder while its table answers soon, and the time up to which that is so. */
export const COMMIT_TIMEOUT_MS = 1200
export const COMMIT_SOON_MS = 300
/** How long a workflow whose commit alone the platform refuses is left out of commits. */
export const COMMIT_REFUSED_RETRY_MS = 10000

/** Number of workers that a task is known to have failed on; long-running tasks may fail any number of times. */
export const FAILED_WORKERS_MAX = 8

/** Deadline of one call to the platform's table on behalf of a waiting caller. */
export const INTAKE_CALL_TIMEOUT_MS = 1200
/** Part of a caller's reply timeout that is reserved for sending the reply. */
export const INTAKE_MARGIN_MS = 150
/** First retry delay of a table call on behalf of a caller; it doubles with each retry. */
export const INTAKE_RETRY_DELAY_MS = 80
/** Number of refusals by the platform that are retried before the caller is refused. */
export const INTAKE_REFUSED_RETRIES = 3

/** Retry delay sent to callers when the platform is unreachable. */
export const PLATFORM_RETRY_AFTER_MS = 1000

/** Maximum age of a count of pending workflows that is returned to callers. */
export const PENDING_COUNT_AGE_MS = 500
