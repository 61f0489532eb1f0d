/**
 * The open channels to the platform's store go silent; 3.5 s later a configuration adds a route and drops another.
 */
import {
	isServing, sendRequest, startLink, startStore, startWorker, submitJob,
} from '../rig/platform.mjs';
import {runCase, sleep, waitUntil} from '../rig/processes.mjs';

/** `ConfigApplyMs` of the site. */
const configApplyMs = 2000;

/** `ContactMs` of the site: from here on after the silence, the machines are in touch again. */
const contactMs = 3000;

runCase(import.meta.dirname, async (installation, hasTrouble) => {
	const record = installation.record.bind(installation);
	const store = await startStore();
	const link = await startLink(store.address);
	store.writeConfiguration(3, ['first', 'dropped']);
	const entries = [];
	for (const name of ['edge-kerr-1', 'edge-llano-1']) {
		entries.push(await installation.startProcess('entry', name, {platform: {Address: link.address}}));
	}

	for (const name of ['side-kerr-1', 'side-llano-1']) {
		const worker = await startWorker({
			id: `i-${name}`, cpu: 8000, runMs: 50, record,
		});
		const agent = await installation.startProcess('agent', name, {platform: {Address: link.address}, app: worker.address});
		worker.beat(agent.heartbeats);
	}

	for (const entry of entries) {
		await waitUntil(`${entry.name} serves`, async () => isServing(entry, 'dropped', record));
	}

	await sleep(3000);
	store.writeConfiguration(5, ['first', 'dropped', 'second']);
	record('configuration-acknowledged', {version: 5});
	for (const entry of entries) {
		await waitUntil(`${entry.name} has version 5`, async () => isServing(entry, 'second', record), configApplyMs);
	}

	await sleep(300);
	if (hasTrouble) {
		record('channels-to-the-store-silent', {count: link.silenceOpenChannels()});
	}

	await sleep(contactMs + 500);
	const probe = await sendRequest(link.address, 'GET', '/medlardale/kv-key?Key=op/config');
	record('new-channel-to-the-store', {status: probe.status});
	store.writeConfiguration(8, ['first', 'second', 'added']);
	const acknowledgedAt = Date.now();
	record('configuration-acknowledged', {version: 8});
	const broken = [];
	while (Date.now() < acknowledgedAt + 12_000) {
		await sleep(200);
		for (const entry of entries) {
			const [added, dropped] = await Promise.all(['added', 'dropped'].map(async route => submitJob(entry, {route, record})));
			for (const {answer, isOld} of [{answer: added, isOld: added.status === 404}, {answer: dropped, isOld: dropped.status === 200}]) {
				const age = answer.sentAt - acknowledgedAt;
				if (isOld && age > configApplyMs) {
					broken.push(`${entry.name}: ${answer === added ? 'the added route is refused with 404' : 'a job ran on the dropped route'} ${age} ms after the acknowledgement`);
				}
			}
		}
	}

	return broken;
});
