/**
 * Steps for job ids.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {Given, Then, When} from '@cucumber/cucumber';
import {mintJobId, verifyJobId} from '../../src/core/identity/logic.ts';

const secret = 'test-secret';
const mintedAt = 1_700_000_000_000;

type IdWorld = {id: string};

Given('an id minted for customer {string} with home {string} and incarnation {int}', function (this: IdWorld, customer: string, name: string, incarnation: number) {
	this.id = mintJobId(secret, customer, {home: {name, incarnation}, mintedAt, nonce: '0123456789ab'});
});

When('nothing is done to it', () => undefined);

When('one character of it is replaced', function (this: IdWorld) {
	const position = 20;
	const replacement = this.id[position] === 'A' ? 'B' : 'A';
	this.id = this.id.slice(0, position) + replacement + this.id.slice(position + 1);
});

When('its home is replaced', function (this: IdWorld) {
	const text = Buffer.from(this.id, 'base64url').toString('utf8');
	this.id = Buffer.from(text.replace('agent-3', 'agent-4')).toString('base64url');
});

When('it is cut to {int} characters', function (this: IdWorld, length: number) {
	this.id = this.id.slice(0, length);
});

When('it is replaced by {string}', function (this: IdWorld, text: string) {
	this.id = text;
});

Then('customer {string} reads home {string} and incarnation {int} from it', function (this: IdWorld, customer: string, name: string, incarnation: number) {
	const parts = verifyJobId(secret, customer, this.id).unwrap();
	assert.deepEqual(parts, {home: {name, incarnation}, mintedAt, nonce: '0123456789ab'});
});

Then('customer {string} is refused the id as {string}', function (this: IdWorld, customer: string, kind: string) {
	assert.equal(verifyJobId(secret, customer, this.id).unwrapErr().kind, kind);
});
