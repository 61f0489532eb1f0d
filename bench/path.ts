/**
 * Submits jobs to separate processes and checks that every answer is complete, with the results of its own tasks, and that
 * every task was started exactly once.
 *
 * Run by `node --import tsx bench/path.ts --jobs 1000 --seed 1`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import PQueue from 'p-queue';
import {createSeededRandom} from '../src/ports/random.ts';
import {createRigCustomer, Rig} from './rig/rig.ts';

const {values} = parseArgs({
	options: {
		jobs: {type: 'string', default: '1000'},
		seed: {type: 'string', default: '1'},
		entries: {type: 'string', default: '3'},
		agents: {type: 'string', default: '11'},
		binary: {type: 'boolean', default: false},
	},
});

type Answer = {outcome?: string; results?: Array<{echo: {job: number; task: number}}>};

const concurrency = 20;
const maxTasks = 100;
const jobCount = Number(values.jobs);
const random = createSeededRandom(Number(values.seed));
const customer = createRigCustomer('hill-country', {route: {urgency: 'normal', deadlineMs: 30_000}});

await using rig = await Rig.start({
	entries: Number(values.entries), agents: Number(values.agents), customers: [customer], useBinary: values.binary,
});
const urls = rig.listEntryUrls();
const wrong: string[] = [];
let taskTotal = 0;

async function runJob(job: number): Promise<void> {
	const count = 1 + random.getInteger(maxTasks);
	taskTotal += count;
	const tasks = Array.from({length: count}, (_, task) => ({body: {job, task, runMs: 5 + random.getInteger(20)}}));
	const response = await fetch(`${urls[job % urls.length]}/v1/jobs`, {
		method: 'POST',
		headers: {authorization: `Bearer ${customer.token}`, 'content-type': 'application/json'},
		body: JSON.stringify({kind: 'route', tasks}),
	});
	const answer = await response.json() as Answer;
	const isCorrect = answer.outcome === 'complete' && answer.results?.length === count
		&& answer.results.every(({echo}, task) => echo.job === job && echo.task === task);
	if (!isCorrect) {
		wrong.push(`job ${job}: ${response.status} ${JSON.stringify(answer).slice(0, 200)}`);
	}
}

const queue = new PQueue({concurrency});
const startedAt = performance.now();
await Promise.all(Array.from({length: jobCount}, async (_, job) => queue.add(async () => runJob(job))));
const seconds = (performance.now() - startedAt) / 1000;

let starts = 0;
let doubled = 0;
for (const target of rig.listTargets()) {
	const response = await fetch(`http://${target}/ledger/summary`);
	const summary = await response.json() as {starts: number; doubled: string[]};
	starts += summary.starts;
	doubled += summary.doubled.length;
}

process.stdout.write(`${JSON.stringify({
	jobs: jobCount, tasks: taskTotal, wrong: wrong.length, starts, doubled, seconds: Math.round(seconds * 100) / 100, logs: rig.folder,
})}\n${wrong.slice(0, 5).join('\n')}\n`);
process.exitCode = wrong.length === 0 && doubled === 0 && starts === taskTotal ? 0 : 1;
