/**
 * REFUSED: a task has started, its worker's machine loses power, and the only attempt to hand the job in is answered 503.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import {callHttp} from '../rig-3/client.ts';
import {
	createJobId, Fleet, queueHost, queuePrefix, type WorkerKind,
} from '../rig-3/fleet.ts';
import {hasTrouble, runCase, type Recorder} from '../rig-3/recorder.ts';

/** Time of each task, in ms, and time after its start at which the power is lost. */
const runMs = 1200;
const powerLossMs = 200;

/** Time for which the machine is dark, in ms. */
const darkMs = 300;

/** The worker at first, and the kind of its next process: the same as the other one's. */
const largeCpu = 48_000;
const usualCpu = 32_000;

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

/** Takes the power from a machine, with its agent and its worker, and gives it back. */
async function cutPower(fleet: Fleet, recorder: Recorder, kind: {cpu: number}): Promise<void> {
	recorder.recordEvent('power-lost', {machine: 'agent-0', worker: 'w0'});
	const worker = fleet.workers[0].crash(darkMs);
	await fleet.killProcess('agent-0');
	kind.cpu = usualCpu;
	await worker;
	fleet.restartProcess('agent-0');
	recorder.recordEvent('power-back', {machine: 'agent-0', worker: 'w0', cpu: usualCpu});
}

async function play(recorder: Recorder): Promise<string | undefined> {
	const kind = {cpu: largeCpu};
	const kinds: readonly WorkerKind[] = [kind, {cpu: usualCpu}];
	await using fleet = new Fleet(recorder);
	await fleet.start(1, kinds);
	await waitFor(3000);
	const job = createJobId();
	const body = {
		BestEffort: true, Spec: String(runMs), Steps: [{
			Count: 1, Cpu: 40_000, MemMb: 64, EstimateMs: runMs,
		}],
	};
	recorder.recordEvent('submitted', {job, entry: fleet.entries[0].name, steps: body.Steps});
	const answered = callHttp(fleet.entries[0].callers, {
		method: 'POST', path: `${queuePrefix}${job}`, host: queueHost, body, limitMs: deadlineMs,
	});
	await waitForStart(recorder, job);
	if (hasTrouble) {
		await waitFor(powerLossMs);
		await cutPower(fleet, recorder, kind);
	}

	const {status, text} = await answered;
	recorder.recordEvent('answered', {job, status, text});
	const starts = recorder.listStarts(job).length;
	return rejections.has(status) && starts > 0 ? `${starts} start of a task of a job whose only submission was answered ${status}` : undefined;
}

void runCase('review/12', play);
