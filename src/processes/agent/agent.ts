/**
 * Agent process: runs tasks on the slots of one target, and is the home of jobs.
 */
import {createLog} from '../../adapters/log/log.ts';
import {ResourceStack} from '../../adapters/system/resources.ts';
import type {AnnouncementErrorKind} from '../../adapters/target/errors.ts';
import {createTargetRegistration} from '../../adapters/target/registration.ts';
import {FleetView} from '../shared/fleet-view.ts';
import {startNode, type Node, type NodeInput} from '../shared/node.ts';
import {readJsonBody} from '../shared/server.ts';
import {waitAtMost} from '../shared/wait.ts';
import {ExecutionTask} from './execution-task.ts';
import {HomeTask} from './home-task.ts';

/** Maximum size of the body of a target's announcement. */
const maxAnnouncementBytes = 4096;

const announcementStatuses: Record<AnnouncementErrorKind, number> = {'invalid-value': 400, forbidden: 403};

/** A running agent. */
export type Agent = AsyncDisposable & {
	readonly node: Node;
	readonly home: HomeTask;
	readonly execution: ExecutionTask;
	/** Stops accepting work and waits until the work in flight has ended; resolves to false if the drain limit passes first. */
	drain(): Promise<boolean>;
};

/**
 * Starts an agent.
 *
 * @param input - Settings, secrets and ports.
 * @returns The running agent.
 */
export async function startAgent(input: NodeInput): Promise<Agent> {
	const {settings, clock} = input;
	const log = createLog('agent');
	await using stack = new ResourceStack();
	const node = stack.addResource(await startNode(input));
	const registration = createTargetRegistration({
		leaseMs: settings.target.leaseMs, allowedHosts: [settings.host], clock, log: createLog('target'),
	});
	node.server.addRoute('POST /target', async (request, response) => {
		const answer = registration.handleAnnouncement(await readJsonBody(request, maxAnnouncementBytes), request.socket.remoteAddress);
		const body = answer.isOk() ? answer.value : {error: answer.error.message};
		response.writeHead(answer.isOk() ? 200 : announcementStatuses[answer.error.kind], {'content-type': 'application/json'}).end(JSON.stringify(body));
	});
	const fleet = stack.addResource(new FleetView(node));
	const execution = stack.addResource(new ExecutionTask({node, registration, log: createLog('execution')}));
	const home = stack.addResource(new HomeTask({node, fleet, execution}));
	node.setStatusSource(() => ({ejected: fleet.health.listEjected(), load: execution.getLoad(), home: home.getReport()}));
	node.metrics.addSource(() => home.listMetrics());
	node.metrics.addSource(() => execution.listMetrics());
	log.info(`agent "${settings.name}" listens on ${settings.host}:${node.server.port}`);

	async function drain(): Promise<boolean> {
		node.membership.startLeaving();
		home.startLeaving();
		execution.startLeaving();
		const isIdle = await waitAtMost(clock, settings.limits.drainMs, Promise.all([home.waitIdle(), execution.waitIdle()]));
		if (!isIdle) {
			log.error(`drain limit passed; ${home.state.openJobs.size} jobs without an answer, tasks may still be running`);
		}

		return isIdle;
	}

	const owned = stack.moveResources();
	return {
		node,
		home,
		execution,
		drain,
		async [Symbol.asyncDispose]() {
			await owned[Symbol.asyncDispose]();
		},
	};
}
