/**
 * Steps of features/platform/bodies.feature.
 */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {decodeAnnouncement, decodeConfiguration, decodeSubmission} from '../../platform/bodies.ts';
import {parseBody} from '../../platform/json-fields.ts';
import type {JobSubmission} from '../../src/core/dispatch/types.ts';
import type {Configuration} from '../../src/core/routes/types.ts';

type BodiesWorld = {
	decoded: object | string;
};

When(/^a job with (.*) is decoded$/, function (this: BodiesWorld, body: string) {
	this.decoded = parseBody(body, fields => decodeSubmission('00000000000000aa', fields));
});

When(/^a heartbeat with (.*) is decoded$/, function (this: BodiesWorld, body: string) {
	this.decoded = parseBody(body, fields => decodeAnnouncement('i-1', fields));
});

When('a configuration with version {int} and route {string} is decoded', function (this: BodiesWorld, version: number, text: string) {
	const [host, prefix, service] = text.split(' ');
	this.decoded = parseBody(JSON.stringify({
		Version: version,
		Routes: [{
			Name: 'r', Host: host, Prefix: prefix, Service: service, Priority: 2, MaxAttempts: 3, SlackFactor: 1.6, TargetDurationMs: 60, TimeoutMs: 1500,
		}],
		Services: [],
		Limits: {MaxBodyBytes: 1000},
	}), decodeConfiguration);
});

Then('decoding fails with {string}', function (this: BodiesWorld, error: string) {
	assert.equal(typeof this.decoded, 'string');
	assert.ok((this.decoded as string).includes(error), this.decoded as string);
});

Then('it is unsupported for {string}', function (this: BodiesWorld, reason: string) {
	assert.equal((this.decoded as JobSubmission).unsupported, reason);
});

Then('its route has target {string}, {}', function (this: BodiesWorld, target: string, text: string) {
	const [route] = (this.decoded as Configuration).routes;
	assert.equal(route.target, target);
	assert.equal(`priority ${route.priority}, ${route.maxAttempts} attempts, slack factor ${route.slackFactor} and target time ${route.targetMs} ms`, text);
});
