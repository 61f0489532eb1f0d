/**
 * Calls of clients to an entry: one channel for each call, but where a client keeps one open.
 */
import {Agent, request} from 'node:http';

const host = 'jobs.example';

/** Sends a request; the status is 0 if its channel breaks or no response comes in time. */
async function sendRequest(address, {method, path, body, headers = {}, timeoutMs, agent = false}) {
	const [hostname, port] = address.split(':');
	const contentHeaders = body === undefined ? {} : {'content-type': 'application/json', 'content-length': String(new TextEncoder().encode(body).length)};
	return new Promise(resolve => {
		const call = request({
			hostname, port, method, path, agent, headers: {host, ...headers, ...contentHeaders},
		}, response => {
			let text = '';
			response.on('data', data => {
				text += String(data);
			});
			response.on('end', () => {
				clearTimeout(timer);
				resolve({status: response.statusCode, text});
			});
			response.on('error', error => {
				clearTimeout(timer);
				resolve({status: 0, text: `broken: ${error.message}`});
			});
		});
		const timer = setTimeout(() => {
			call.destroy(new Error('no response in time'));
		}, timeoutMs);
		call.on('error', error => {
			clearTimeout(timer);
			resolve({status: 0, text: `broken: ${error.message}`});
		});
		call.end(body);
	});
}

/**
 * Submits a job that need not be stored and waits for its answer, as long as it tells the entry.
 *
 * @param address - Address of the entry.
 * @param job - Id, specification and steps.
 * @param options - `deadlineMs`: time for which the client waits; `agent`: holds its open channel, if it has one.
 */
export async function submitJob(address, {id, spec, steps}, {deadlineMs = 8000, agent, prefix = '/q/'} = {}) {
	return sendRequest(address, {
		method: 'POST', path: `${prefix}${id}`, body: JSON.stringify({Spec: spec, Steps: steps, BestEffort: true}), headers: {'deadline-ms': String(deadlineMs)}, timeoutMs: deadlineMs, agent,
	});
}

/** Cancels a job. */
export async function cancelJob(address, id) {
	return sendRequest(address, {
		method: 'DELETE', path: `/q/${id}`, headers: {'deadline-ms': '1500'}, timeoutMs: 1500,
	});
}

/** Opens a channel that stays open, and returns what holds it. */
export async function openChannel(address) {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const {status} = await sendRequest(address, {
		method: 'GET', path: '/q/', timeoutMs: 1500, agent,
	});
	if (status !== 200) {
		throw new Error(`no channel to ${address}: status ${status}`);
	}

	return agent;
}

/** Reads the status of a readiness check; 0 without an answer. */
export async function readReadiness(address) {
	const {status} = await sendRequest(address, {method: 'GET', path: '/medlardale/ready', timeoutMs: 1000});
	return status;
}
