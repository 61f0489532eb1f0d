/**
 * Faults at the processes of a small fleet, each with the jobs that show what callers are told of it.
 */
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import type {ProcessFleet} from './process-fleet.ts';

/** Brings about one fault under load. */
export type ProcessFault = (fleet: ProcessFleet) => Promise<void>;

const longRunMs = 1500;
const silentMs = 1200;
const leaveLimitMs = 2000;
const tasksPerJob = 6;

/** Number of jobs that are submitted one after another while a process is replaced. */
const steadyJobs = 40;

async function submitUntilAnswered(fleet: ProcessFleet): Promise<void> {
	const job = await fleet.addFollowedJob(1 + (fleet.followed.length % tasksPerJob), 30);
	await fleet.waitUntil(`an answer of job ${job.id}`, async () => {
		await fleet.callers.submitJob(job);
		return job.told.at(-1)!.outcome !== 'error';
	});
}

async function submitSteadily(fleet: ProcessFleet): Promise<void> {
	for (let count = 0; count < steadyJobs; count++) {
		await submitUntilAnswered(fleet);
	}
}

async function replaceProcess(fleet: ProcessFleet, name: string): Promise<void> {
	const child = fleet.rig.getProcess(name);
	const steady = submitSteadily(fleet);
	await delay(200);
	assert.equal(await child.stop('SIGTERM'), 0, `exit code of ${name}`);
	child.start();
	await steady;
	await fleet.rig.waitReady();
}

/** Faults by their names in the feature. */
export const processFaults: Readonly<Record<string, ProcessFault>> = {
	async 'an agent is killed that is the home of jobs'(fleet) {
		const [first, second] = fleet.rig.listEntryUrls();
		const job = await fleet.addFollowedJob(tasksPerJob, longRunMs, 'agent-1');
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
		const job = await fleet.addFollowedJob(tasksPerJob, longRunMs, 'agent-2');
		const answered = fleet.callers.submitJob(job, first);
		await fleet.waitStarted(job);
		fleet.rig.getProcess('agent-2').sendSignal('SIGSTOP');
		await answered;
		fleet.rig.getProcess('agent-2').sendSignal('SIGCONT');
		await delay(longRunMs);
		await fleet.callers.submitJob(job, second);
	},
	async 'streams to an agent fall silent for a while'(fleet) {
		const jobs = [await fleet.addFollowedJob(tasksPerJob, longRunMs, 'agent-3'), await fleet.addFollowedJob(tasksPerJob, longRunMs, 'agent-1')];
		const answered = jobs.map(async job => fleet.callers.submitJob(job));
		await Promise.all(jobs.map(async job => fleet.waitStarted(job)));
		fleet.rig.getProcess('agent-3').sendSignal('SIGSTOP');
		await delay(silentMs);
		fleet.rig.getProcess('agent-3').sendSignal('SIGCONT');
		await Promise.all(answered);
	},
	async 'an entry is killed while a caller waits'(fleet) {
		const [first, second] = fleet.rig.listEntryUrls();
		const job = await fleet.addFollowedJob(tasksPerJob, longRunMs);
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
		const steady = submitSteadily(fleet);
		await fleet.waitUntil('a start at the target that leaves', async () => fleet.target.ledger.listEntries().length > 0);
		await fleet.target.startLeaving();
		const leftAt = Date.now();
		await Promise.all([steady, delay(leaveLimitMs + longRunMs)]);
		await submitSteadily(fleet);
		const late = fleet.target.ledger.listEntries().filter(({time}) => time > leftAt + leaveLimitMs);
		assert.deepEqual(late, []);
	},
	async 'an agent gets a second signal'(fleet) {
		const job = await fleet.addFollowedJob(tasksPerJob, 4 * longRunMs, 'agent-3');
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
