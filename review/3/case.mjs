/**
 * A worker is cut off from its machine and runs on: open channels to it are reset, and new ones are refused.
 */
import {
	describeOverlaps, isServing, listOverlaps, startLink, startStore, startWorker, submitJob,
} from '../rig/platform.mjs';
import {runCase, sleep, waitUntil} from '../rig/processes.mjs';

/** Length of a cut, in ms; the site's cuts last 5,500 ms. */
const cutMs = 3000;

const rounds = 3;
const runMs = 2500;

runCase(import.meta.dirname, async (installation, hasTrouble) => {
	const record = installation.record.bind(installation);
	const store = await startStore();
	store.writeConfiguration(3, ['probe', 'tasks']);
	const entries = [];
	for (const name of ['edge-kerr-1', 'edge-llano-1']) {
		entries.push(await installation.startProcess('entry', name, {platform: {Address: store.address}}));
	}

	const workers = [];
	const links = [];
	for (const name of ['side-kerr-1', 'side-kerr-2', 'side-llano-1', 'side-llano-2', 'side-blanco-1', 'side-blanco-2']) {
		const worker = await startWorker({
			id: `i-${name}`, cpu: 16_000, runMs: spec => spec === 'long' ? runMs : 50, record,
		});
		workers.push(worker);
		const link = await startLink(worker.address);
		links.push(link);
		const agent = await installation.startProcess('agent', name, {platform: {Address: store.address}, app: link.address});
		worker.beat(agent.heartbeats);
	}

	for (const entry of entries) {
		await waitUntil(`${entry.name} serves`, async () => isServing(entry, 'probe', record));
	}

	await sleep(3500);
	for (let round = 0; round < rounds; round++) {
		const answers = [...entries, ...entries].map(async entry => submitJob(entry, {
			route: 'tasks', spec: 'long', deadlineMs: 10_000, step: {Count: 4, EstimateMs: runMs}, record,
		}));
		await sleep(700);
		if (hasTrouble) {
			record('worker-cut-off', {worker: round, cutMs});
			await links[round].refuseChannels(cutMs);
			record('worker-back', {worker: round});
		}

		await Promise.all(answers);
		await sleep(3000);
	}

	return describeOverlaps(listOverlaps(workers), record);
});
