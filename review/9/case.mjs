/**
 * A worker crashes, and the next boot at its address is of another kind. Jobs that need the former kind go on.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import {runCase} from '../rig-2/case.mjs';

/** Each job has two tasks of 300 ms; a worker has room for four tasks. */
const runMs = 300;
const steps = [{
	Count: 2, Cpu: 8000, MemMb: 64, EstimateMs: runMs, Requirements: 'a',
}];

/** Time between two jobs, in ms: more than one worker of the kind can do, and less than two can. */
const intervalMs = 100;

/** Kinds of the workers: the one that crashes is one of eight. */
const kinds = ['a', 'a', 'b', 'b', 'b', 'b', 'b', 'b'];

/** Times after the first job, in ms. */
const crashAtMs = 3000;
const endAtMs = 9000;

const downMs = 1000;

/** Time from the start of the new boot to its first heartbeat, in ms; they come approximately every 1,500 ms. */
const firstHeartbeatMs = 700;

async function replaceWorker(worker) {
	await waitFor(crashAtMs);
	await worker.crash();
	await waitFor(downMs);
	await worker.start({labels: ['b', 'r1'], firstHeartbeatMs});
}

await runCase(async (fleet, hasTrouble) => {
	await fleet.start(1, kinds.map(kind => ({labels: [kind, 'r1']})));
	const replacement = hasTrouble ? replaceWorker(fleet.workers[0]) : undefined;
	const jobs = [];
	for (let sent = 0; sent * intervalMs < endAtMs; sent++) {
		jobs.push(fleet.submit(fleet.entries[0].callers, {id: `8a${String(sent).padStart(14, '0')}`, spec: String(runMs), steps}));
		await waitFor(intervalMs);
	}

	await Promise.all([...jobs, replacement]);
	const wrong = fleet.starts.filter(({task, labels}) => task.startsWith('8a') && !labels.includes('a'));
	return wrong.map(({task, worker, labels, startedAt}) => `ROUTE: ${task}, which requires the label a, starts on ${worker} with the labels ${labels.join(' ')} at ${fleet.getOffset(startedAt)}`);
});
