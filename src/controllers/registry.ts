/** Creates the controllers of a host, in the order in which a round steps them. */
import {
	type Board,
	type Clock,
	type Controller,
	type Policies,
	AdmissionController,
	AnswerController,
	AuthorityController,
	BundleController,
	BundleHistoryController,
	CallController,
	CatalogController,
	ClusterViewController,
	DefragmentController,
	EndpointController,
	ExpiryController,
	FollowedHolderRows,
	GangController,
	HostListController,
	IntakeLimitsController,
	JobListController,
	LedgerController,
	NodeController,
	NodeLogController,
	NodeDrainController,
	NoticeController,
	PeerController,
	PendingCountController,
	PlacementController,
	ReclaimController,
	RolloutController,
	RehomeController,
	RunOrderController,
	RunPlacementController,
	StandstillController,
	StepTimesController,
	RunReportController,
	RunTimesController,
	WorkerController,
	WorkflowIntakeController,
	WorkflowLogController,
	createHolderLease,
	createPolicies
} from "../internal.js"

export function createControllers(
	clock: Clock,
	policies: Policies = createPolicies()
): readonly Controller[] {
	return [
		new BundleController(),
		new HostListController(),
		new AuthorityController(),
		new PeerController(),
		new LedgerController(),
		new WorkerController(),
		new EndpointController(),
		new GangController(),
		new CallController(policies),
		new RunTimesController(),
		new RehomeController(policies),
		new PlacementController(policies),
		new ReclaimController(),
		new DefragmentController(policies),
		new ExpiryController(),
		new AdmissionController(policies, () => clock.readWallClock()),
		new AnswerController(),
		new JobListController(),
		new NoticeController(),
		new RolloutController(policies),
		new BundleHistoryController(),
		new ClusterViewController()
	]
}

/** Creates the controllers of a host whose domain has one holder for several zones. */
export function createDomainControllers(board: Board, clock: Clock): readonly Controller[] {
	const readWallClock = () => clock.readWallClock()
	return [
		new CatalogController(),
		new AuthorityController(new FollowedHolderRows(), createHolderLease(board.settings)),
		new WorkflowLogController(board, clock),
		new NodeController(board),
		new NodeLogController(board),
		new RunReportController(board),
		new StepTimesController(board, readWallClock),
		new NodeDrainController(),
		new RunOrderController(board),
		new RunPlacementController(clock),
		new StandstillController(),
		new IntakeLimitsController(),
		new WorkflowIntakeController(readWallClock),
		new PendingCountController()
	]
}
