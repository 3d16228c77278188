/** Shared constants, each with its unit in the name. */

/** Rounds of controller steps in one turn before the loop is taken to be unable to settle. */
export const MAX_ROUNDS_PER_TURN = 1000

/** Unrenewed time after which another host may take a zone over. */
export const HOLDER_LEASE_MS = 3000
export const HOLDER_RENEW_INTERVAL_MS = 1000
/** Pause after a renewal that failed: an overloaded table refuses some calls, and the lease allows for several. */
export const HOLDER_RETRY_DELAY_MS = 250

/** Deadline of one call about the holder's rows: a renewal that is lost must be repeated before the lease lapses. */
export const AUTHORITY_TIMEOUT_MS = 1500

/** Worker lease: tasks stop by themselves when it goes unrenewed for this long. */
export const WORKER_LEASE_MS = 10000
export const WORKER_RENEW_INTERVAL_MS = 1000

/** Silence after which a worker counts as lost and the rest of its gangs are stopped. */
export const WORKER_LOST_MS = 4000

/** Added to a worker's lease before its tasks are taken to have stopped. */
export const LEASE_MARGIN_MS = 1000

/** Age of the evidence that a zone is in service up to which a start is permitted. */
export const START_PERMIT_MS = 3000

/** A reservation that is not started lapses after this long. */
export const RESERVATION_TTL_MS = 10000

export const BUNDLE_POLL_INTERVAL_MS = 1000
export const HOST_LIST_POLL_INTERVAL_MS = 1000

/** How often the holder reads its zone's whole list of active jobs; notices bring new ones at once. */
export const QUEUE_SCAN_INTERVAL_MS = 5000

/** Deadline of one call to the platform, a worker, an endpoint or a peer. */
export const PLATFORM_TIMEOUT_MS = 2000
export const WORKER_TIMEOUT_MS = 2000
export const ENDPOINT_TIMEOUT_MS = 5000
export const PEER_TIMEOUT_MS = 2000

/** First delay before a retry; later delays double with full jitter up to the maximum. */
export const RETRY_BASE_MS = 200
export const RETRY_MAX_MS = 5000

/** Attempts of a repeatable job on distinct workers before it ends as failed. */
export const MAX_ATTEMPTS = 3

/** Longest a caller may hold one wait request open. */
export const MAX_WAIT_MS = 30000

/** Largest request body from a caller. */
export const MAX_BODY_BYTES = 262144

export const ACCELERATORS_PER_WORKER_MAX = 64

/** Ended jobs that a host keeps at hand for callers who ask again. */
export const ENDED_JOBS_KEPT = 2000

/** How often a host re-reads the row of a job that a caller waits for, in case no notice of its end came. */
export const WAIT_POLL_INTERVAL_MS = 2000

/** Answers larger than this go to the object store, and the row refers to them. */
export const ANSWER_INLINE_MAX_BYTES = 16384

/** How long acceptance is retried before the caller is told that it is unknown. */
export const ACCEPT_TIMEOUT_MS = 8000

/** A start call without an answer is repeated, the task id makes it idempotent, until this long after the claim. */
export const START_TIMEOUT_MS = 3000

/** Interval at which an unanswered call about a gang member is repeated. */
export const MEMBER_RETRY_INTERVAL_MS = 500

/** How long a borrower may take for its checkpoint before it is stopped without one. */
export const CHECKPOINT_TIMEOUT_MS = 5000

/** Waiting time after which batch work counts as normal in the queue. */
export const QUEUE_AGE_PROMOTION_MS = 3600000

/** Queued jobs that may reserve workers at once while they wait for room. */
export const MAX_BACKFILL_RESERVATIONS = 4

/** A job may run on a reserved worker if this many times its expected run time still ends in time. */
export const BACKFILL_MARGIN = 4

/** Jobs of a zone that is out of service that are moved to other zones at once. */
export const REHOME_IN_FLIGHT_MAX = 32

/** Queue up to which a zone keeps the work that is submitted in it, whatever other zones have. */
export const LOCAL_QUEUE_SLACK = 64

/** A payload of this size halves the weight of a zone in another region. */
export const REGION_PAYLOAD_BYTES = 16384

/** How long a job that no worker of its zone could ever hold waits for other workers before it ends as not run. */
export const NEVER_FITS_GRACE_MS = 30000

/** Commits of job rows that a host keeps under way at once: bounds of the window, and new work's part of it. */
export const WRITE_WINDOW_MAX = 64
export const WRITE_WINDOW_MIN = 2
export const WRITE_WINDOW_ACCEPT_SHARE = 0.75

/** Weight of the latest observation in the mean run time of a service. */
export const RUN_TIME_WEIGHT = 0.2
export const RUN_TIME_MIN_SAMPLES = 3

/** Workspaces and services whose run times a host remembers. */
export const RUN_TIMES_KEPT = 2000

/** How long room is held for a job while borrowers stop, before other borrowers are asked. */
export const RECLAIM_TIMEOUT_MS = 10000

/** How often a job to move is looked for, where the bundle asks for it. */
export const DEFRAGMENT_INTERVAL_MS = 60000

/** How long a job must have run before it is moved. */
export const DEFRAGMENT_MIN_AGE_MS = 600000

/** How often a hold is looked at while nothing else changes. */
export const RECLAIM_CHECK_INTERVAL_MS = 500

/** Pause before a job whose gang was aborted is placed again. */
export const REPLACE_DELAY_MS = 500

export const ENDPOINT_POLL_INTERVAL_MS = 1000
export const ENDPOINT_STATUS_TIMEOUT_MS = 1000

/** Silence after which an endpoint gets no new calls. */
export const ENDPOINT_LOST_MS = 3000

/** How long an unanswered call is asked after before its outcome is given as unknown. */
export const CALL_ABANDON_MS = 30000

export const PEER_EXCHANGE_INTERVAL_MS = 1000

/** Peers of its own zone that a host exchanges news with at every interval. */
export const PEER_FANOUT_OWN_ZONE = 8

/** Peers of other zones, in rotation, that a host exchanges news with at every interval. */
export const PEER_FANOUT_OTHERS = 3

/** Most jobs in one answer to a caller that lists its jobs; the newest are given. */
export const LIST_JOBS_MAX = 200

/** Most generations in one answer about the bundle's history. */
export const BUNDLE_HISTORY_MAX = 50

/** Processor time that the holder of a domain of some 250 workers needs when work comes at its worst, in cores. */
export const HOLDER_CORES = 0.6

/** How long a host with less than that leaves a domain without a holder to larger hosts; they poll each second. */
export const HOLDER_DEFERRAL_MS = 1000

/**
 * Time after its last proven renewal for which a domain's holder gives orders to workers. Less than the time after
 * which another host may take over, so that the two never give orders at once.
 */
export const HOLDER_PROOF_MS = 1800

/**
 * Lease and renewal of a domain's holder. Shorter than a zone's, since no work at all starts in the domain until the
 * lease has lapsed; longer than two renewals at the slowest table that was met, whose commits take 0.8 s.
 */
export const DOMAIN_LEASE_MS = 2000
export const DOMAIN_RENEW_INTERVAL_MS = 600

/** Lease of a domain's worker, below the longest that workers grant, so that runs outlive a change of holder. */
export const NODE_LEASE_MS = 9500

/** Error that is allowed for in the rate of a worker's clock, as a fraction. */
export const WORKER_CLOCK_ERROR = 0.02

/** Added to a lease before what ran under it is taken to have stopped. */
export const NODE_LAPSE_MARGIN_MS = 300

/** How long a worker holds a renewal open for a run to end; the lease is renewed at least as often. */
export const NODE_RENEW_WAIT_MS = 1500
/** Time beyond the wait after which a renewal counts as unanswered. */
export const NODE_ANSWER_TIMEOUT_MS = 1000
/** Pause after a renewal that was not answered. */
export const NODE_RETRY_DELAY_MS = 250
/** How soon a worker is asked again while it lists ends that are not durable yet. */
export const NODE_UNSAVED_DELAY_MS = 200

/** How often the domain's list of workers is read. */
export const WORKER_LIST_INTERVAL_MS = 800

/** How long the platform holds a follow-up open for a change; an answer is evidence that nothing else changed. */
export const FOLLOW_WAIT_MS = 900
/** Time beyond the wait after which a follow-up counts as unanswered. */
export const FOLLOW_ANSWER_TIMEOUT_MS = 800
/**
 * Pause before something that failed is tried again, doubled at each failure up to the second: short enough to notice
 * at once that an outage has ended, long enough not to add to an overload.
 */
export const OUTAGE_RETRY_MIN_MS = 150
export const OUTAGE_RETRY_MAX_MS = 600

/** Age of the catalog's evidence from which a host takes the platform to be out of its reach. */
export const CATALOG_FRESH_MS = 2300
/** Share of the revocation bound up to which keys are honoured without newer evidence. */
export const KEY_EVIDENCE_SHARE = 0.65

/** A start without an answer is repeated after this long; it is idempotent. */
export const RUN_ORDER_TIMEOUT_MS = 700
/** Starts of one run that are sent before the run is ruled out. */
export const RUN_STARTS_MAX = 2
/** Pause between stop orders of one run. */
export const RUN_STOP_INTERVAL_MS = 400

/** A worker that fails runs of this many workflows in a row is given no new ones for a while. */
export const NODE_FAILURES_MAX = 2
export const NODE_QUARANTINE_MS = 8000

/**
 * A run whose progress stands still for this long, and for this share of its estimate, is started elsewhere. Progress
 * comes in whole percents, and estimates are off by a factor of three or so.
 */
export const RUN_STALL_MS = 2600
export const RUN_STALL_SHARE = 0.08

/** How often the runs on workers that are about to leave are looked at. */
export const NODE_DRAIN_CHECK_INTERVAL_MS = 200
/** Time for the stop of a run and for the age of the notice: the list of workers is read each 0.8 s. */
export const NODE_DRAIN_MARGIN_MS = 1000
/** Workers stay a little longer than they announce: a run that would end within this time is left to end. */
export const NODE_DRAIN_LINGER_MS = 1500

/** Pause before the tasks of a step are placed again after a start was refused. */
export const STEP_RETRY_DELAY_MS = 150

/** Row writes that one commit carries at most, below the platform's bound. */
export const COMMIT_ROWS_MAX = 40

/** Deadline of one call to the platform's table on behalf of a caller who waits. */
export const INTAKE_CALL_TIMEOUT_MS = 1200
/** Kept of a caller's patience for the reply to reach it. */
export const INTAKE_MARGIN_MS = 150
/** Pause before a caller's call to the table is repeated for the first time; it doubles with each one after it. */
export const INTAKE_RETRY_DELAY_MS = 80
/** How often the platform may refuse a caller's call before the caller is refused. */
export const INTAKE_REFUSED_RETRIES = 3

/** When a caller is to ask again after the platform was out of reach. */
export const PLATFORM_RETRY_AFTER_MS = 1000

/** Age up to which a count of workflows that have not begun is given to callers. */
export const PENDING_COUNT_AGE_MS = 500
