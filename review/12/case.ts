/**
 * REFUSED: a task has started, its worker's machine loses power, and the only attempt to hand the job in is answered 503.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import {callHttp} from '../rig-3/client.ts';
import {
	createJobId, Fleet, queueHost, queuePrefix,
} from '../rig-3/fleet.ts';
import type {LateWorker} from '../rig-3/late-worker.ts';
import {hasTrouble, runCase, type Recorder} from '../rig-3/recorder.ts';

/** Time of each task, in ms, and time after its start at which the power is lost. */
const runMs = 1200;
const powerLossMs = 200;

/** Time for which the machine is dark, in ms. */
const darkMs = 300;

/** Room of the two machines; it stays with them. */
const largeCpu = 48_000;
const usualCpu = 32_000;

/** Labels of both workers at first, which the job requires, and of the next process of the larger one. */
const firstLabels = ['b', 'r1'];
const nextLabels = ['a', 'r1'];

const deadlineMs = 6000;
const startLimitMs = 3000;

/** Statuses that say that a job was not accepted and never runs. */
const rejections = new Set([429, 503]);

async function waitForStart(recorder: Recorder, job: string): Promise<void> {
	const end = Date.now() + startLimitMs;
	while (recorder.listStarts(job).length === 0) {
		if (Date.now() > end) {
			throw new Error('the task has not started');
		}

		await waitFor(5);
	}
}

/** Takes the power from a machine, with its agent and its worker, and gives it back; the next process of the worker is of another kind. */
async function cutPower(fleet: Fleet, recorder: Recorder): Promise<void> {
	recorder.recordEvent('power-lost', {machine: 'agent-0', worker: 'w0'});
	const [late] = fleet.workers as LateWorker[];
	const worker = late.crash(darkMs, () => {
		fleet.restartProcess('agent-0');
		recorder.recordEvent('power-back', {machine: 'agent-0', worker: 'w0', labels: nextLabels});
	});
	late.labels = nextLabels;
	await fleet.killProcess('agent-0');
	await worker;
}

async function play(recorder: Recorder): Promise<string | undefined> {
	await using fleet = new Fleet(recorder);
	await fleet.start(1, [{cpu: largeCpu, isLate: true}, {cpu: usualCpu, isLate: true}]);
	for (const worker of fleet.workers) {
		(worker as LateWorker).labels = firstLabels;
	}

	await waitFor(3000);
	const job = createJobId();
	const body = {
		BestEffort: true, Spec: String(runMs), Steps: [{
			Count: 1, Cpu: 40_000, MemMb: 64, EstimateMs: runMs, Requirements: 'b',
		}],
	};
	recorder.recordEvent('submitted', {job, entry: fleet.entries[0].name, steps: body.Steps});
	const answered = callHttp(fleet.entries[0].callers, {
		method: 'POST', path: `${queuePrefix}${job}`, host: queueHost, body, limitMs: deadlineMs,
	});
	await waitForStart(recorder, job);
	if (hasTrouble) {
		await waitFor(powerLossMs);
		await cutPower(fleet, recorder);
	}

	const {status, text} = await answered;
	recorder.recordEvent('answered', {job, status, text});
	const starts = recorder.listStarts(job).length;
	return rejections.has(status) && starts > 0 ? `${starts} start of a task of a job whose only submission was answered ${status}` : undefined;
}

void runCase('review/12', play);
