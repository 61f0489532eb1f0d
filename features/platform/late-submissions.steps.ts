/**
 * Steps of features/platform/late-submissions.feature.
 */
import assert from 'node:assert/strict';
import {Agent, request} from 'node:http';
import {
	After, Given, Then, When,
} from '@cucumber/cucumber';
import {Proxy} from '../../bench/soak/platform/proxy.ts';
import {takePorts} from '../../bench/rig/ports.ts';
import {PlatformFleet} from './platform-fleet.ts';

type Response = {status: number; text: string};

type LateWorld = {
	lateFleet: PlatformFleet | undefined;
	/** On the way of the callers to the second entry. */
	proxy: Proxy | undefined;
	/** Keeps the channel of the caller open. */
	channel: Agent | undefined;
	response: Promise<Response>;
};

const jobId = '00000000000000b7';
const warmUpIds = ['00000000000000b5', '00000000000000b6'];
const timeLimit = {timeout: 30_000};
const taskCount = 4;

/** Time from a submission to the next one, in ms. */
const retryMs = 100;

/** Time, in ms, in which an entry hears from one that it has heard of. */
const informMs = 1000;

/** Submits a job; the status is 0 if the channel breaks. */
async function submitJob(address: string, id: string, agent?: Agent): Promise<Response> {
	const [host, port] = address.split(':');
	const body = JSON.stringify({
		BestEffort: true, Spec: id === jobId ? '700' : '20', Steps: [{
			Count: taskCount, Cpu: 3000, MemMb: 64, EstimateMs: 150,
		}],
	});
	return new Promise(resolve => {
		const call = request({
			host, port, method: 'POST', path: `/q/${id}`, agent, headers: {host: 'jobs.example', 'content-type': 'application/json', 'deadline-ms': '5000'},
		}, response => {
			let text = '';
			response.on('data', data => {
				text += String(data);
			});
			response.on('end', () => {
				resolve({status: response.statusCode!, text});
			});
		});
		call.on('error', error => {
			resolve({status: 0, text: error.message});
		});
		call.end(body);
	});
}

After(async function (this: LateWorld) {
	this.channel?.destroy();
	await this.proxy?.[Symbol.asyncDispose]();
	await this.lateFleet?.[Symbol.asyncDispose]();
});

Given('two entries, {int} agents and their workers, whose tasks run for {int} ms', timeLimit, async function (this: LateWorld, agents: number, runMs: number) {
	this.lateFleet = new PlatformFleet();
	await this.lateFleet.start(agents, spec => Number(spec) || runMs);
	const second = await this.lateFleet.addEntry();
	const [port] = await takePorts(1);
	this.proxy = new Proxy(`127.0.0.1:${port}`, second.callers);
	await this.proxy.listen();
	this.channel = new Agent({keepAlive: true, maxSockets: 1});
	// An entry that has just heard of others serves nothing until it has heard from them.
	for (const id of warmUpIds) {
		await this.lateFleet.waitUntil(async () => {
			const {status} = await submitJob(this.proxy!.address, id, this.channel);
			return status === 200;
		}, 10_000);
		await this.lateFleet.wait(informMs);
	}
});

When('a caller submits a job on an open channel to the second entry, whose bytes are held up', function (this: LateWorld) {
	this.proxy!.directions.server.setSilent(true);
	// The caller does not wait for this answer any more, and its end of the channel is not heard of.
	void submitJob(this.proxy!.address, jobId, this.channel);
});

When('the caller submits the job on a new channel to the first entry', function (this: LateWorld) {
	const {lateFleet} = this;
	async function submitLater(): Promise<Response> {
		await lateFleet!.wait(retryMs);
		return submitJob(lateFleet!.callers, jobId);
	}

	this.response = submitLater();
});

When('the bytes arrive {int} ms later', timeLimit, async function (this: LateWorld, delay: number) {
	await this.lateFleet!.wait(retryMs + delay);
	this.proxy!.directions.server.setSilent(false);
});

Then('the caller is answered {string} by the first entry', timeLimit, async function (this: LateWorld, state: string) {
	const {status, text} = await this.response;
	assert.equal(`${status} ${text}`, `200 {"State":"${state}"}`);
});

Then('no two runs of a task overlap', async function (this: LateWorld) {
	await this.response;
	// A second run would be stopped soon after its start.
	await this.lateFleet!.wait(200);
	const starts = this.lateFleet!.workers.flatMap(worker => worker.starts.filter(({task}) => task.startsWith(jobId)));
	assert.equal(new Set(starts.map(({task}) => task)).size, taskCount);
	const overlaps = starts.flatMap((left, index) => starts.slice(index + 1)
		.filter(right => right.task === left.task && left.startedAt < (right.endedAt ?? Number.POSITIVE_INFINITY) && right.startedAt < (left.endedAt ?? Number.POSITIVE_INFINITY))
		.map(right => `${left.task} from ${left.startedAt} to ${left.endedAt} and from ${right.startedAt} to ${right.endedAt}`));
	assert.deepEqual(overlaps, []);
});
