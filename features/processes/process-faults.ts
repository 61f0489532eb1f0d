/**
 * Faults injected into the processes of a small fleet, each with tracked jobs whose answers are asserted.
 */
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import type {ProcessFleet} from './process-fleet.ts';

/** Injects one fault under load. */
export type ProcessFault = (fleet: ProcessFleet) => Promise<void>;

/** Run time of tasks that are still running when the fault occurs. */
const longRunMs = 1500;

/** Duration of a freeze; longer than the heartbeat timeout of the fleet. */
const freezeMs = 1200;

/** Time after a target has started to leave in which tasks may still start there. */
const leaveGraceMs = 2000;
const tasksPerJob = 6;

/** Number of jobs submitted one after another while a process is replaced or a target leaves. */
const jobsPerReplacement = 40;

/** Submits a job repeatedly until its outcome is not `error`, which stands for a failed request. */
async function submitTrackedJob(fleet: ProcessFleet): Promise<void> {
	const job = await fleet.addTrackedJob(1 + (fleet.tracked.length % tasksPerJob), 30);
	await fleet.waitUntil(`an answer of job ${job.id}`, async () => {
		await fleet.callers.submitJob(job);
		return job.answers.at(-1)!.outcome !== 'error';
	});
}

async function submitTrackedJobs(fleet: ProcessFleet): Promise<void> {
	for (let count = 0; count < jobsPerReplacement; count++) {
		await submitTrackedJob(fleet);
	}
}

async function replaceProcess(fleet: ProcessFleet, name: string): Promise<void> {
	const child = fleet.rig.getProcess(name);
	const submitted = submitTrackedJobs(fleet);
	await delay(200);
	assert.equal(await child.stop('SIGTERM'), 0, `exit code of ${name}`);
	child.start();
	await submitted;
	await fleet.rig.waitReady();
}

/** Faults by the names that the feature gives them. */
export const processFaults: Readonly<Record<string, ProcessFault>> = {
	async 'an agent is killed that is the home of jobs'(fleet) {
		const [first, second] = fleet.rig.listEntryUrls();
		const job = await fleet.addTrackedJob(tasksPerJob, longRunMs, 'agent-1');
		const answered = fleet.callers.submitJob(job, first);
		await fleet.waitStarted(job);
		const home = fleet.rig.getProcess('agent-1');
		await home.stop('SIGKILL');
		await answered;
		home.start();
		await fleet.callers.submitJob(job, second);
	},
	async 'an agent is frozen until it is taken for dead'(fleet) {
		const [first, second] = fleet.rig.listEntryUrls();
		const job = await fleet.addTrackedJob(tasksPerJob, longRunMs, 'agent-2');
		const answered = fleet.callers.submitJob(job, first);
		await fleet.waitStarted(job);
		fleet.rig.getProcess('agent-2').sendSignal('SIGSTOP');
		await answered;
		fleet.rig.getProcess('agent-2').sendSignal('SIGCONT');
		await delay(longRunMs);
		await fleet.callers.submitJob(job, second);
	},
	async 'streams to an agent fall silent for a while'(fleet) {
		const jobs = [await fleet.addTrackedJob(tasksPerJob, longRunMs, 'agent-3'), await fleet.addTrackedJob(tasksPerJob, longRunMs, 'agent-1')];
		const answered = jobs.map(async job => fleet.callers.submitJob(job));
		await Promise.all(jobs.map(async job => fleet.waitStarted(job)));
		fleet.rig.getProcess('agent-3').sendSignal('SIGSTOP');
		await delay(freezeMs);
		fleet.rig.getProcess('agent-3').sendSignal('SIGCONT');
		await Promise.all(answered);
	},
	async 'an entry is killed while a caller waits'(fleet) {
		const [first, second] = fleet.rig.listEntryUrls();
		const job = await fleet.addTrackedJob(tasksPerJob, longRunMs);
		const answered = fleet.callers.submitJob(job, first);
		await fleet.waitStarted(job);
		const entry = fleet.rig.getProcess('entry-1');
		await entry.stop('SIGKILL');
		await answered;
		await fleet.callers.submitJob(job, second);
		entry.start();
		await fleet.rig.waitReady();
	},
	async 'an agent and an entry are replaced after each other'(fleet) {
		await replaceProcess(fleet, 'agent-2');
		await replaceProcess(fleet, 'entry-2');
	},
	async 'a target leaves'(fleet) {
		const submitted = submitTrackedJobs(fleet);
		await fleet.waitUntil('a start at the target that leaves', async () => fleet.target.ledger.listEntries().length > 0);
		await fleet.target.startLeaving();
		const leftAt = Date.now();
		await Promise.all([submitted, delay(leaveGraceMs + longRunMs)]);
		await submitTrackedJobs(fleet);
		const late = fleet.target.ledger.listEntries().filter(({time}) => time > leftAt + leaveGraceMs);
		assert.deepEqual(late, []);
	},
	async 'an agent gets a second signal'(fleet) {
		const job = await fleet.addTrackedJob(tasksPerJob, 4 * longRunMs, 'agent-3');
		const answered = fleet.callers.submitJob(job);
		await fleet.waitStarted(job);
		const agent = fleet.rig.getProcess('agent-3');
		agent.sendSignal('SIGTERM');
		await fleet.waitLogged('agent-3', 'SIGTERM received');
		assert.notEqual(await agent.stop('SIGTERM'), 0);
		await fleet.waitLogged('agent-3', 'ended at once by a second signal');
		await answered;
	},
};
