/**
 * The machine of an entry freezes for some seconds, with its network. Requests that were sent on open channels are not
 * acknowledged meanwhile. TCP sends them again, and they reach the entry after the clients have turned to the other one.
 */
import {setTimeout as waitFor} from 'node:timers/promises';
import {openChannel} from '../rig-2/caller.mjs';
import {runCase} from '../rig-2/case.mjs';
import {bounds} from '../rig-2/fleet.mjs';
import {startProxy} from '../rig-2/proxy.mjs';

const clientCount = 16;

/** Time between the requests of two clients, in ms. */
const intervalMs = 50;

/** Length of the freeze, in ms; the first request is sent when it begins. TCP sends bytes again 200, 600, 1,400 and 3,000 ms after the first time. */
const freezeMs = 2900;

const deadlineMs = 1500;
const runMs = 900;
const steps = [{
	Count: 2, Cpu: 3000, MemMb: 64, EstimateMs: runMs,
}];

/** Submits a job on an open channel; after no response or a broken channel it is sent again, to the other entry. */
async function submitWithRetry(fleet, job, [first, second], agent) {
	const answer = await fleet.submit(first.address, job, {deadlineMs, agent, via: first.name});
	agent.destroy();
	if ([0, 502, 504].includes(answer.status)) {
		await waitFor(bounds.RetransmitMs);
		await fleet.submit(second.address, job, {deadlineMs, via: second.name});
	}
}

function isOverlapping(left, right) {
	return left.task === right.task && left.startedAt < (right.endedAt ?? Number.POSITIVE_INFINITY) && right.startedAt < (left.endedAt ?? Number.POSITIVE_INFINITY);
}

function describeRun(fleet, {worker, startedAt, endedAt, end}) {
	return `${worker} from ${fleet.getOffset(startedAt)} to ${endedAt === undefined ? 'now' : fleet.getOffset(endedAt)} (${end})`;
}

function listOverlaps(fleet) {
	const own = fleet.starts.filter(({task}) => task.startsWith('a0'));
	return own.flatMap((left, index) => own.slice(index + 1)
		.filter(right => isOverlapping(left, right))
		.map(right => `TWICE: ${left.task} runs on ${describeRun(fleet, left)} and on ${describeRun(fleet, right)}`));
}

await runCase(async (fleet, hasTrouble) => {
	await fleet.start(2, [{}, {}, {}, {}]);
	const proxies = [];
	for (const entry of [...fleet.entries].reverse()) {
		proxies.push(await startProxy(entry));
	}

	const channels = [];
	for (let index = 0; index < clientCount; index++) {
		channels.push(await openChannel(proxies[0].address));
	}

	if (hasTrouble) {
		fleet.sendSignal(proxies[0].name, 'SIGSTOP');
		proxies[0].cut();
		setTimeout(() => {
			fleet.sendSignal(proxies[0].name, 'SIGCONT');
			proxies[0].heal();
		}, freezeMs);
	}

	const jobs = [];
	for (const [index, agent] of channels.entries()) {
		jobs.push(submitWithRetry(fleet, {id: `a0${String(index).padStart(14, '0')}`, spec: String(runMs), steps}, proxies, agent));
		await waitFor(intervalMs);
	}

	await Promise.all(jobs);
	await waitFor(1000);
	for (const proxy of proxies) {
		proxy.stop();
	}

	return listOverlaps(fleet);
});
