/**
 * Registration of the target at its agent: a lease that each announcement of the target renews.
 */
import {isIP} from 'node:net';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Clock, Milliseconds, Timer} from '../../ports/clock.ts';
import type {Log} from '../../ports/log.ts';
import type {TargetAnnouncement, TargetRegistration} from '../../ports/target.ts';
import type {AnnouncementError} from './errors.ts';

/** Options of the registration. */
export type TargetRegistrationOptions = {
	/** Time for which an announcement is valid, in ms. */
	readonly leaseMs: Milliseconds;
	/** IP addresses, besides loopback, at which the target may listen: those of the agent's own host. */
	readonly allowedHosts?: readonly string[];
	readonly clock: Clock;
	readonly log: Log;
};

/** Registration with the handler of announcements. */
export type TargetRegistrationHandler = TargetRegistration & {
	/**
	 * Handles one announcement.
	 *
	 * @param body - The announcement as a parsed JSON value.
	 * @param sender - IP address of the sender; one of another host is refused.
	 * @returns The time for which the announcement is valid, or why it was refused.
	 */
	handleAnnouncement(body: unknown, sender?: string): Result<{readonly leaseMs: Milliseconds}, AnnouncementError>;
};

type TargetListener = (target: TargetAnnouncement | undefined) => void;

const maxSlots = 10_000;
const maxConnections = 65_535;
const maxPort = 65_535;
const addressPattern = /^(?:\[([\da-f:.]+)]|([\d.]+)):(\d{1,5})$/i;
const loopbackPattern = /^(?:127\.|::1$)/;
/** Prefix of an IPv4 address in the form in which a socket for IPv6 reports it. */
const ipv4MappedPrefix = '::ffff:';

type Check = (value: unknown, allowedHosts: readonly string[]) => string | undefined;

function checkCount(value: unknown, max: number): string | undefined {
	return Number.isInteger(value) && Number(value) >= 1 && Number(value) <= max ? undefined : `must be an integer from 1 to ${max}`;
}

function isOwnHost(host: string, allowedHosts: readonly string[]): boolean {
	const plain = host.startsWith(ipv4MappedPrefix) ? host.slice(ipv4MappedPrefix.length) : host;
	return loopbackPattern.test(plain) || allowedHosts.includes(plain);
}

function checkAddress(value: unknown, allowedHosts: readonly string[]): string | undefined {
	const match = typeof value === 'string' ? addressPattern.exec(value) : null;
	const host = match?.[1] ?? match?.[2] ?? '';
	const port = Number(match?.[3] ?? 0);
	if (isIP(host) === 0 || port < 1 || port > maxPort) {
		return 'must be an IP address and a port, such as 127.0.0.1:9000';
	}

	return isOwnHost(host, allowedHosts) ? undefined : 'must be a loopback address or an address at the host of the agent';
}

/** Checks of the keys of an announcement; a check returns `undefined` if the value is allowed, else the rule. */
const keyChecks: Record<keyof TargetAnnouncement, Check> = {
	address: checkAddress,
	slots: value => checkCount(value, maxSlots),
	connections: value => checkCount(value, maxConnections),
	leaving: value => value === undefined || typeof value === 'boolean' ? undefined : 'must be true or false',
};

function createError(field: string, value: unknown, rule: string): Err<AnnouncementError> {
	const shown = (JSON.stringify(value) ?? 'absent').slice(0, 80);
	return Err({kind: 'invalid-value', field, message: `${field} ${rule} (value: ${shown})`});
}

/**
 * Checks an announcement.
 *
 * @param body - The announcement as a parsed JSON value.
 * @param allowedHosts - IP addresses, besides loopback, at which the target may listen.
 * @returns The announcement, or the first error with its JSON path, the value and the rule.
 */
export function parseAnnouncement(body: unknown, allowedHosts: readonly string[]): Result<TargetAnnouncement, AnnouncementError> {
	if (typeof body !== 'object' || body === null || Array.isArray(body)) {
		return createError('$', body, 'must be an object');
	}

	const input = body as Readonly<Record<string, unknown>>;
	const unknownKey = Object.keys(input).find(key => !Object.hasOwn(keyChecks, key));
	if (unknownKey !== undefined) {
		return createError(`$.${unknownKey.slice(0, 80)}`, input[unknownKey], `is not a key of an announcement; allowed: ${Object.keys(keyChecks).join(', ')}`);
	}

	for (const [key, check] of Object.entries(keyChecks)) {
		const rule = check(input[key], allowedHosts);
		if (rule !== undefined) {
			return createError(`$.${key}`, input[key], rule);
		}
	}

	const {address, slots, connections, leaving} = input as TargetAnnouncement;
	return Ok({
		address, slots, connections, leaving: leaving ?? false,
	});
}

function isSameAnnouncement(left: TargetAnnouncement | undefined, right: TargetAnnouncement): boolean {
	return left?.address === right.address && left.slots === right.slots && left.connections === right.connections && left.leaving === right.leaving;
}

/**
 * Creates the registration of the one target of this agent.
 *
 * @param options - Lease time, clock and log.
 * @returns The registration.
 */
export function createTargetRegistration(options: TargetRegistrationOptions): TargetRegistrationHandler {
	const {leaseMs, allowedHosts = [], clock, log} = options;
	const listeners = new Set<TargetListener>();
	let target: TargetAnnouncement | undefined;
	let leaseEnd: Milliseconds = 0;
	let timer: Timer | undefined;

	function setTarget(next: TargetAnnouncement | undefined): void {
		target = next;
		for (const listener of listeners) {
			listener(next);
		}
	}

	function checkLease(): void {
		timer = undefined;
		const remaining = leaseEnd - clock.getTime();
		if (remaining > 0) {
			timer = clock.startTimer(remaining, checkLease);
			return;
		}

		log.warn(`lease of target ${target?.address} expired without a new announcement`);
		setTarget(undefined);
	}

	function updateLease(next: TargetAnnouncement): void {
		leaseEnd = clock.getTime() + leaseMs;
		// A renewal only moves leaseEnd; the running timer checks it when it fires and starts again if needed.
		timer ??= clock.startTimer(leaseMs, checkLease);
		if (!isSameAnnouncement(target, next)) {
			log.info(`target ${next.address} ${next.leaving ? 'is leaving' : `announced ${next.slots} slots`}`);
			setTarget(next);
		}
	}

	return {
		findTarget: () => target !== undefined && clock.getTime() < leaseEnd ? target : undefined,
		addListener(listener) {
			listeners.add(listener);
			return {
				[Symbol.dispose]() {
					listeners.delete(listener);
				},
			};
		},
		handleAnnouncement(body, sender) {
			if (sender !== undefined && !isOwnHost(sender, allowedHosts)) {
				return Err({kind: 'forbidden', field: 'sender', message: `an announcement must come from the host of the agent (sender: ${sender})`});
			}

			return parseAnnouncement(body, allowedHosts).map(next => {
				updateLease(next);
				return {leaseMs};
			});
		},
	};
}
