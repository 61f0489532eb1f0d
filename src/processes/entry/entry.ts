/**
 * Entry process: serves callers over HTTP.
 */
import {startHttpInterface, type HttpInterface} from '../../adapters/http/server.ts';
import {createLog} from '../../adapters/log/log.ts';
import {ResourceStack} from '../../adapters/system/resources.ts';
import {FleetView} from '../shared/fleet-view.ts';
import {startNode, type Node, type NodeInput} from '../shared/node.ts';
import {waitAtMost} from '../shared/wait.ts';
import {AdmissionTask, listEntries} from './admission-task.ts';
import {HomeCalls} from './calls.ts';
import {KeyedJobs} from './keyed-jobs.ts';
import {OutcomeCounts} from './outcomes.ts';
import {EntryJobService} from './job-service.ts';

/** Upper bounds of the histogram buckets of response times, in seconds. */
const responseBounds = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** A running entry. */
export type Entry = AsyncDisposable & {
	readonly node: Node;
	readonly http: HttpInterface;
	/** Stops accepting requests and waits until those in flight are answered; resolves to false if the drain limit passes first. */
	drain(): Promise<boolean>;
};

/**
 * Starts an entry.
 *
 * @param input - Settings, secrets and ports.
 * @returns The running entry.
 */
export async function startEntry(input: NodeInput): Promise<Entry> {
	const {settings, clock} = input;
	const log = createLog('entry');
	await using stack = new ResourceStack();
	const node = stack.addResource(await startNode(input));
	const fleet = stack.addResource(new FleetView(node, () => listEntries(node)));
	const calls = stack.addResource(new HomeCalls(node, fleet));
	const admission = stack.addResource(new AdmissionTask(node));
	const responses = await node.metrics.createHistogram({
		name: 'medlardale_job_response_seconds', help: 'Time from the request to the whole answer', labelNames: ['customer'], bounds: responseBounds,
	});
	const outcomes = new OutcomeCounts(responses);
	node.metrics.addSource(() => outcomes.listMetrics(clock.getTime()));
	node.setStatusSource(() => ({ejected: fleet.health.listEjected(), customers: outcomes.listReports(clock.getTime())}));
	const keys = stack.addResource(new KeyedJobs(node, fleet));
	const jobs = new EntryJobService({
		node, fleet, calls, admission, outcomes, keys,
	});
	const http = stack.addResource(await startHttpInterface({
		jobs,
		contracts: node.contracts,
		limits: settings.limits,
		receiver: node.receiver,
		log: createLog('http'),
		host: settings.host,
		port: settings.publicPort,
		renderMetrics: async () => node.metrics.renderMetrics(),
	}));
	log.info(`entry "${settings.name}" serves callers on ${settings.host}:${http.port}`);

	async function drain(): Promise<boolean> {
		node.membership.startLeaving();
		http.startDraining();
		const isIdle = await waitAtMost(clock, settings.limits.drainMs, http.waitIdle());
		if (!isIdle) {
			log.error(`drain limit passed with ${calls.countJobs()} jobs without an answer`);
		}

		return isIdle;
	}

	const owned = stack.moveResources();
	return {
		node,
		http,
		drain,
		async [Symbol.asyncDispose]() {
			await owned[Symbol.asyncDispose]();
		},
	};
}
