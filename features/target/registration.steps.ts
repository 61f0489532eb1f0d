/**
 * Steps of registration.feature.
 */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {createLog, setLogOptions} from '../../src/adapters/log/log.ts';
import {createTargetRegistration, type TargetRegistrationHandler} from '../../src/adapters/target/registration.ts';
import {FakeClock} from './fake-clock.ts';

type RegistrationWorld = {
	clock: FakeClock;
	registration: TargetRegistrationHandler;
	reply: ReturnType<TargetRegistrationHandler['handleAnnouncement']>;
	received: string[];
};

Given('a registration with a lease of {int} ms at host {string}', function (this: RegistrationWorld, leaseMs: number, host: string) {
	setLogOptions({level: 'silent', format: 'text', processName: 'test'});
	this.clock = new FakeClock();
	this.registration = createTargetRegistration({
		leaseMs, allowedHosts: [host], clock: this.clock, log: createLog('target'),
	});
	this.received = [];
	this.registration.addListener(target => {
		const summary = target?.leaving ? 'leaving' : target && `${target.slots} slots`;
		this.received.push(summary ?? 'gone');
	});
});

When('a target announces itself at {string} with {int} slots', function (this: RegistrationWorld, address: string, slots: number) {
	this.reply = this.registration.handleAnnouncement({address, slots, connections: 64});
	assert.deepEqual(this.reply.unwrap(), {leaseMs: 3000});
});

When('the target announces that it is leaving', function (this: RegistrationWorld) {
	const {address, slots, connections} = this.registration.findTarget()!;
	this.registration.handleAnnouncement({
		address, slots, connections, leaving: true,
	}).unwrap();
});

When('an announcement comes from {string}', function (this: RegistrationWorld, sender: string) {
	this.reply = this.registration.handleAnnouncement({address: '127.0.0.1:9000', slots: 8, connections: 64}, sender);
});

Then(/^it is (accepted|refused)$/, function (this: RegistrationWorld, answer: string) {
	assert.equal(this.reply.isOk(), answer === 'accepted');
	assert.equal(this.registration.findTarget() === undefined, answer === 'refused');
});

When(/^the announcement (.*) arrives$/, function (this: RegistrationWorld, text: string) {
	this.reply = this.registration.handleAnnouncement(JSON.parse(text));
});

When(/^(\d+) ms pass(?:es)?$/, async function (this: RegistrationWorld, duration: string) {
	await this.clock.advance(Number(duration));
});

Then('the registration finds the target {string}', function (this: RegistrationWorld, address: string) {
	assert.equal(this.registration.findTarget()?.address, address);
});

Then('the registration finds no target', function (this: RegistrationWorld) {
	assert.equal(this.registration.findTarget(), undefined);
	assert.equal(this.clock.countTimers(), 0);
});

Then('the listeners received {string}', function (this: RegistrationWorld, received: string) {
	assert.equal(this.received.join(', '), received);
});

Then('the announcement is refused with field {string} and a message that has {string}', function (this: RegistrationWorld, field: string, part: string) {
	const error = this.reply.unwrapErr();
	assert.equal(error.field, field);
	assert.ok(error.message.includes(field) && error.message.includes(part), error.message);
});
