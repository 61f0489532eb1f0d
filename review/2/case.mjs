/**
 * One agent is killed shortly after each of its starts, several times within two seconds, while tasks run at its worker.
 */
import {
	describeOverlaps, isServing, listOverlaps, startStore, startWorker, submitJob,
} from '../rig/platform.mjs';
import {runCase, sleep, waitUntil} from '../rig/processes.mjs';

/** Time after which the platform starts a process that has ended, in ms. */
const restartMs = 100;

/** Time for which the agent is killed again and again, in ms, and the time after its first lease renewal at which it is. */
const loopMs = 1800;
const lifeMs = 20;

const rounds = 9;
const longMs = 3500;

async function killAgain(agent, worker) {
	const endsAt = Date.now() + loopMs;
	agent.kill('SIGKILL');
	while (Date.now() < endsAt) {
		await sleep(restartMs);
		agent.start();
		const startedAt = Date.now();
		await waitUntil('the agent renews the lease', async () => worker.getRenewedAt() > startedAt);
		await sleep(lifeMs);
		if (Date.now() < endsAt) {
			agent.kill('SIGKILL');
		}
	}
}

runCase(import.meta.dirname, async (installation, hasTrouble) => {
	const record = installation.record.bind(installation);
	const store = await startStore();
	store.writeConfiguration(3, ['probe', 'tasks']);
	const entries = [];
	for (const name of ['edge-kerr-1', 'edge-llano-1']) {
		entries.push(await installation.startProcess('entry', name, {platform: {Address: store.address}}));
	}

	const workers = [];
	const agents = [];
	for (const name of ['side-kerr-1', 'side-llano-1', 'side-blanco-1']) {
		const worker = await startWorker({
			id: `i-${name}`, cpu: 16_000, runMs: spec => spec === 'long' ? longMs : 100 + (Math.random() * 1500), record,
		});
		workers.push(worker);
		const agent = await installation.startProcess('agent', name, {platform: {Address: store.address}, app: worker.address});
		agents.push(agent);
		worker.beat(agent.heartbeats);
	}

	for (const entry of entries) {
		await waitUntil(`${entry.name} serves`, async () => isServing(entry, 'probe', record));
	}

	await sleep(3000);
	for (let round = 0; round < rounds; round++) {
		record('round', {round});
		const answers = entries.flatMap(entry => ['long', 'short', 'long', 'short', 'long'].map(async spec => submitJob(entry, {
			route: 'tasks', spec, deadlineMs: 10_000, step: {Count: 3, EstimateMs: spec === 'long' ? longMs : 700}, record,
		})));
		await sleep(300);
		if (hasTrouble) {
			await killAgain(agents[round % agents.length], workers[round % agents.length]);
		}

		await Promise.all(answers);
		await sleep(1000);
	}

	return describeOverlaps(listOverlaps(workers), record);
});
