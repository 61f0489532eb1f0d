/**
 * State of an agent's queue: its customers and kinds, and the totals and heaps derived from them.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import {createEntry, removeEntry, updateEntry} from './heap.ts';
import {policies} from './policies.ts';
import {createRunTime} from './run-times.ts';
import type {
	CustomerQueue, KindQueue, ScheduleOptions, ScheduleState, TaskSpec,
} from './types.ts';

/**
 * Creates an empty queue.
 *
 * @param options - Bounds and parameters.
 * @param slots - Slots of the target; 0 without a target.
 * @returns The state.
 */
export function createSchedule(options: ScheduleOptions, slots: number): ScheduleState {
	return {
		options,
		customers: new Map(),
		shortHeap: [],
		longHeap: [],
		deadlines: [],
		jobs: new Map(),
		running: new Set(),
		recentlyActive: new Set(),
		slots,
		runningLong: 0,
		sequence: 0,
		virtualTime: 0,
		queued: 0,
		bytes: 0,
		backlog: 0,
		activeWeight: 0,
		longWeight: 0,
		lastLongCustomer: undefined,
		lastLongAt: Number.NEGATIVE_INFINITY,
		lastLongContentionAt: Number.NEGATIVE_INFINITY,
		shortLoad: 0,
		shortLoadAt: 0,
		lastShortAt: Number.NEGATIVE_INFINITY,
		lastIdleCheckAt: 0,
		accepted: 0,
		ended: 0,
		dropped: 0,
	};
}

function createCustomer(name: string): CustomerQueue {
	return {
		name,
		kinds: new Map(),
		shortEntry: createEntry(name),
		longEntry: createEntry(name),
		weight: 1,
		startTag: 0,
		virtualTime: 0,
		queued: 0,
		bytes: 0,
		backlog: 0,
		running: 0,
		runningLong: 0,
		activeWeight: 0,
		longWeight: 0,
		lastActiveAt: 0,
	};
}

function getCustomer(state: ScheduleState, name: string): CustomerQueue {
	let customer = state.customers.get(name);
	if (customer === undefined) {
		customer = createCustomer(name);
		state.customers.set(name, customer);
	}

	return customer;
}

/**
 * Returns the queue that a task belongs to; creates it on first use.
 *
 * @param state - The queue of the agent.
 * @param spec - The task; its weight becomes that of its customer, and its urgency that of its kind.
 * @returns The kind's queue.
 */
export function getKindQueue(state: ScheduleState, spec: TaskSpec): KindQueue {
	const customer = getCustomer(state, spec.customer);
	customer.weight = spec.weight;
	let kind = customer.kinds.get(spec.kind);
	if (kind === undefined) {
		kind = {
			name: spec.kind,
			customer,
			runTime: createRunTime(state.options.initialRunMs),
			urgency: spec.urgency,
			startTag: 0,
			isLong: true,
			queued: 0,
			running: 0,
			overrunning: 0,
			firstStartedAt: Number.POSITIVE_INFINITY,
			lastAddedAt: Number.NEGATIVE_INFINITY,
			lastTrialAt: Number.NEGATIVE_INFINITY,
			head: undefined,
			tail: undefined,
		};
		customer.kinds.set(spec.kind, kind);
	}

	kind.urgency = spec.urgency;
	return kind;
}

/**
 * Chooses the kind whose task the customer starts next.
 *
 * @param state - The queue of the agent.
 * @param customer - The customer.
 * @param isAllowed - Whether a kind may be chosen.
 * @returns The kind, or `undefined` if no allowed kind has a task queued.
 */
export function chooseKind(state: ScheduleState, customer: CustomerQueue, isAllowed: (kind: KindQueue) => boolean): KindQueue | undefined {
	const {computeKindKey} = policies[state.options.policy];
	let best: KindQueue | undefined;
	for (const kind of customer.kinds.values()) {
		const isCandidate = kind.queued > 0 && isAllowed(kind);
		if (isCandidate && (best === undefined || computeKindKey(kind) < computeKindKey(best))) {
			best = kind;
		}
	}

	return best;
}

/**
 * Checks whether a kind's tasks count as long.
 *
 * @param kind - The kind.
 * @returns Whether they do.
 */
export function isLong(kind: KindQueue): boolean {
	return kind.isLong;
}

/**
 * Checks whether a kind's tasks count as short.
 *
 * @param kind - The kind.
 * @returns Whether they do.
 */
export function isShort(kind: KindQueue): boolean {
	return !kind.isLong;
}

/** Updates the customer's keys in the heaps, or removes it from a heap if it has no such task queued. */
function updateHeaps(state: ScheduleState, customer: CustomerQueue): void {
	const {computeCustomerKey} = policies[state.options.policy];
	for (const [isAllowed, heap, entry] of [[isShort, state.shortHeap, customer.shortEntry], [isLong, state.longHeap, customer.longEntry]] as const) {
		const kind = chooseKind(state, customer, isAllowed);
		if (kind === undefined) {
			removeEntry(heap, entry);
		} else {
			updateEntry(heap, entry, computeCustomerKey(kind, state.options));
		}
	}
}

/**
 * Computes the part of a customer's weight that belongs to its long kinds with tasks queued or running. The
 * weight is divided by urgency among the kinds that are busy or got a task within `reserveHoldMs`, but the part
 * is no more than is needed to give each task of the long kinds a slot.
 */
function computeLongWeight(state: ScheduleState, customer: CustomerQueue, now: Milliseconds): number {
	const {urgencyWeights, reserveHoldMs} = state.options;
	let tasks = 0;
	let long = 0;
	let sum = 0;
	for (const kind of customer.kinds.values()) {
		const busy = kind.queued + kind.running;
		const weight = urgencyWeights[kind.urgency];
		tasks += kind.isLong ? busy : 0;
		long += busy > 0 && kind.isLong ? weight : 0;
		sum += busy > 0 || now - kind.lastAddedAt < reserveHoldMs ? weight : 0;
	}

	return tasks === 0 ? 0 : Math.min(customer.weight * long / sum, tasks * state.activeWeight / Math.max(state.slots, 1));
}

function updateWeights(state: ScheduleState, customer: CustomerQueue, now: Milliseconds): void {
	const isBusy = customer.queued + customer.running > 0;
	customer.lastActiveAt = now;
	if (isBusy) {
		state.recentlyActive.delete(customer);
	} else if (customer.activeWeight > 0 && !state.recentlyActive.has(customer)) {
		state.recentlyActive.add(customer);
	}

	const activeWeight = isBusy || customer.activeWeight > 0 ? customer.weight : 0;
	state.activeWeight += activeWeight - customer.activeWeight;
	customer.activeWeight = activeWeight;
	const longWeight = computeLongWeight(state, customer, now);
	state.longWeight += longWeight - customer.longWeight;
	customer.longWeight = longWeight;
}

/**
 * Updates heaps and totals after a change of a customer's queues.
 *
 * @param state - The queue of the agent.
 * @param customer - The changed customer.
 * @param now - The current time.
 */
export function updateCustomer(state: ScheduleState, customer: CustomerQueue, now: Milliseconds): void {
	updateHeaps(state, customer);
	updateWeights(state, customer, now);
}

/**
 * Removes the weight of customers that have been idle for `reserveHoldMs` from the active weight.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 */
export function pruneRecentlyActive(state: ScheduleState, now: Milliseconds): void {
	for (const customer of state.recentlyActive) {
		if (now - customer.lastActiveAt < state.options.reserveHoldMs) {
			return;
		}

		state.recentlyActive.delete(customer);
		state.activeWeight -= customer.activeWeight;
		customer.activeWeight = 0;
	}

	if (state.recentlyActive.size === 0 && state.queued === 0 && state.running.size === 0) {
		state.activeWeight = 0;
		state.longWeight = 0;
	}
}

/**
 * Removes customers that have been idle for `idleMs`, with their measured run times.
 *
 * @param state - The queue of the agent.
 * @param now - The current time.
 */
export function pruneCustomers(state: ScheduleState, now: Milliseconds): void {
	const {idleMs} = state.options;
	if (now - state.lastIdleCheckAt < idleMs / 4) {
		return;
	}

	state.lastIdleCheckAt = now;
	for (const customer of state.customers.values()) {
		if (customer.activeWeight === 0 && now - customer.lastActiveAt >= idleMs) {
			state.customers.delete(customer.name);
		}
	}
}
