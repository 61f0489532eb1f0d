/**
 * Steps of features/platform/random-bodies.feature.
 */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {Then, When} from '@cucumber/cucumber';
import {jsonValue, sample} from 'fast-check';
import {decodeAnnouncement, decodeConfiguration, decodeSubmission} from '../../platform/bodies.ts';
import {createHeartbeatHandler} from '../../platform/heartbeats.ts';
import type {HttpResponse} from '../../platform/http-server.ts';
import {parseBody} from '../../platform/json-fields.ts';
import {decodeRenewal, decodeStartAnswer} from '../../platform/worker.ts';
import {parseRecord, type DirectoryRecord} from '../../src/processes/dispatch/directory-records.ts';
import type {DispatchAgent} from '../../src/processes/dispatch/agent.ts';

type RandomWorld = {
	decoded: unknown[];
	response: HttpResponse;
	answer: string;
	renewalFailure: string;
};

const seed = Number(process.env.SEED ?? 1);

/** Decodes a text as one kind of body: the value, or an error message. */
const decoders: Readonly<Record<string, (text: string) => unknown>> = {
	'a job': text => parseBody(text, fields => decodeSubmission('00000000000000aa', fields)),
	'a heartbeat': text => parseBody(text, fields => decodeAnnouncement('i-1', fields)),
	'a configuration': text => parseBody(text, decodeConfiguration),
	'a directory key': text => parseRecord(text),
};

const address = {
	name: 'a', incarnation: 5, role: 'agent', dataCentre: 'dc', host: '10.1.0.1', port: 7720,
};

const validBodies: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	'a job': {
		BestEffort: true,
		Spec: 'x',
		Steps: [{
			Count: 2, Cpu: 1600, MemMb: 64, EstimateMs: 300, After: [], Requirements: 'a', DataRack: 'r', AntiAffinity: 1,
		}],
	},
	'a heartbeat': {
		Service: 's', Address: '10.1.0.1:8080', State: 'ready', Capacity: {Cpu: 16_000, MemMb: 1000, Gpu: 0}, Labels: ['a'], Sequence: 4, born: 5,
	},
	'a configuration': {
		Version: 3,
		Routes: [{
			Name: 'r', Host: 'h', Prefix: '/p/', Service: 's', Priority: 0, MaxAttempts: 3, SlackFactor: 2, TargetDurationMs: 60, TimeoutMs: 1500,
		}],
		Limits: {MaxBodyBytes: 1000},
	},
	'a directory key': {
		address,
		worker: {
			id: 'w', target: 's', address: '10.1.0.1:8080', state: 'ready', capacity: {cpu: 1, memory: 1, accelerators: 0}, labels: ['a'], sequence: 4, bornAt: 5,
		},
	},
};

/** Replaces the part of a value with the given number, counted over all objects and lists in it. */
function replacePart(value: unknown, position: {left: number}, replacement: unknown): unknown {
	if (position.left-- === 0) {
		return replacement;
	}

	if (Array.isArray(value)) {
		return value.map(part => replacePart(part, position, replacement));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([name, part]) => [name, replacePart(part, position, replacement)]))
		: value;
}

When(/^(\d+) random values are decoded as (.*)$/, function (this: RandomWorld, count: string, kind: string) {
	this.decoded = sample(jsonValue(), {numRuns: Number(count), seed}).map(value => decoders[kind](JSON.stringify(value)));
});

When(/^(\d+) changed bodies are decoded as (.*)$/, function (this: RandomWorld, count: string, kind: string) {
	const replacements = sample(jsonValue(), {numRuns: Number(count), seed});
	this.decoded = replacements.map((replacement, index) => decoders[kind](JSON.stringify(replacePart(validBodies[kind], {left: 1 + (index % 20)}, replacement))));
});

When(/^(\w+) of (.*) holds a list nested (\d+) times$/, function (this: RandomWorld, field: string, kind: string, depth: string) {
	const nested = `${'['.repeat(Number(depth))}${']'.repeat(Number(depth))}`;
	const text = JSON.stringify({...validBodies[kind], [field]: 'nested'}).replace('"nested"', field === 'Steps' || field === 'Routes' ? `{"a":${nested}}` : nested);
	this.decoded = [decoders[kind](text)];
});

/** Texts of values that are long or deep, by description. */
const longValues: Readonly<Record<string, string>> = {
	'a text of 60000 letters': JSON.stringify('x'.repeat(60_000)),
	'a list of 20000 numbers': JSON.stringify(Array.from({length: 20_000}, () => [1, 2, 3])),
	'lists nested 100000 times': `${'['.repeat(100_000)}${']'.repeat(100_000)}`,
};

When(/^(\w+) of (.*) holds (a text of \d+ letters|a list of \d+ numbers|lists nested \d+ times)$/, function (this: RandomWorld, field: string, kind: string, value: string) {
	const text = JSON.stringify({...validBodies[kind], [field]: 'long'}).replace('"long"', longValues[value]);
	this.decoded = [decoders[kind](text)];
});

Then('it is refused with an error message that names {word}', function (this: RandomWorld, name: string) {
	const message = this.decoded[0] as string;
	assert.equal(typeof message, 'string');
	assert.ok(message.split(' ', 1)[0].includes(name), message.slice(0, 100));
	assert.ok(message.length < 200, 'the message must not repeat the whole value');
});

When(/^(\w+) of (.*) is "(\w+)"$/, function (this: RandomWorld, field: string, kind: string, value: string) {
	this.decoded = [decoders[kind](JSON.stringify({...validBodies[kind], [field]: value}))];
});

Then('each is decoded or refused with an error message', function (this: RandomWorld) {
	assert.ok(this.decoded.length > 0);
	for (const decoded of this.decoded) {
		assert.ok(typeof decoded === 'object' || (typeof decoded === 'string' && decoded.length > 0), `seed ${seed}`);
	}
});

Then('it is refused with an error message', function (this: RandomWorld) {
	assert.equal(typeof this.decoded[0], 'string');
	assert.ok((this.decoded[0] as string).length < 200, 'the message must not repeat the whole value');
});

When('the worker refuses a start with the reason {string}', function (this: RandomWorld, reason: string) {
	this.answer = decodeStartAnswer({type: 'answered', status: 409, body: {ClockMs: 1, Reason: reason}});
});

When('a renewal and a start end as {string}', function (this: RandomWorld, type: 'refused' | 'no-route' | 'unanswered') {
	const renewal = decodeRenewal({type, message: ''}, () => undefined);
	assert.ok(renewal.type === 'failed');
	this.renewalFailure = renewal.kind;
	this.answer = decodeStartAnswer({type, message: ''});
});

Then('the renewal counts as {string}', function (this: RandomWorld, kind: string) {
	assert.equal(this.renewalFailure, kind);
});

Then('the start counts as {string}', function (this: RandomWorld, answer: string) {
	assert.equal(this.answer, answer);
});

When('a heartbeat is sent with {word} to {string}', async function (this: RandomWorld, method: string, url: string) {
	const agent = {handleAnnouncement: () => assert.fail('applied'), handleDeparture: () => assert.fail('applied')};
	const handler = createHeartbeatHandler(agent as unknown as DispatchAgent, {recordDecision: () => undefined});
	this.response = await handler({url, method} as unknown as IncomingMessage, new AbortController().signal);
});

Then('the agent answers with status {int}', function (this: RandomWorld, status: number) {
	assert.equal(this.response.status, status);
});

When('a directory key is decoded whose worker is null', function (this: RandomWorld) {
	this.decoded = [parseRecord(JSON.stringify({address, worker: null}))];
});

Then('it names the process without a worker', function (this: RandomWorld) {
	const [record] = this.decoded as DirectoryRecord[];
	assert.deepEqual([record.address.name, record.worker], ['a', undefined]);
});
