/**
 * Counts worker crashes by task, decides when a task is given up, and which routes start with a canary.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {NodeName} from '../identity/types.ts';
import {computeNameHash} from '../subsets/logic.ts';
import type {CrashState} from './state.ts';
import type {Crash, RouteEvidence, Suspicion} from './types.ts';

/** Number of crashes blamed on a task after which it is given up. */
const maxBlamedCrashes = 2;

/** Number of crashes during a task's runs, blamed on it or not, after which it is given up. */
const maxCrashes = 4;

/** Number of crashes during a task's runs, none of them blamed on it, from which it is suspect. */
const suspectCrashes = 2;

/** Time, in ms, for which crashes under a task are kept; longer than callers submit a job again. */
const retentionMs = 30_000;

/** Most tasks with crashes that are kept; the oldest are dropped first. */
const maxTasks = 2000;

/** Half-life of the evidence against a route, in ms; about the time in which a crashed worker is back. */
const evidenceHalfLifeMs = 3000;

/** Evidence from which jobs of a route start with a canary, and the most that is kept, in confirmed crashes. */
const carefulAmount = 0.5;
const maxAmount = 4;

/** Share of a target's workers on which isolated runs of a route start. */
const quarantineShare = 0.25;

function recordTaskCrash({tasks}: CrashState, crash: Crash, now: Milliseconds): boolean {
	const record = tasks.get(crash.task) ?? {
		all: new Set(), blamed: new Set(), isConfirmed: false, recordedAt: now,
	};
	const key = `${crash.agent}#${crash.run}`;
	const isNew = !record.all.has(key);
	record.all.add(key);
	if (crash.isBlamed) {
		record.blamed.add(key);
		record.isConfirmed ||= crash.isIsolated;
	}

	record.recordedAt = now;
	tasks.delete(crash.task);
	tasks.set(crash.task, record);
	if (tasks.size > maxTasks) {
		const [oldest] = tasks.keys();
		tasks.delete(oldest);
	}

	return isNew;
}

function computeAmount({amount, at}: RouteEvidence, now: Milliseconds): number {
	return amount * (0.5 ** ((now - at) / evidenceHalfLifeMs));
}

function addEvidence(evidence: CrashState['routes'], route: string, target: string, now: Milliseconds): void {
	const previous = evidence.get(route);
	const amount = previous === undefined ? 0 : computeAmount(previous, now);
	evidence.set(route, {amount: Math.min(maxAmount, amount + 1), at: now, target});
}

/**
 * Records a run that ended with a crash of its worker; one that is known already changes nothing.
 *
 * @param state - Record of crashes.
 * @param crash - The run.
 * @param now - Current time.
 */
export function recordCrash(state: CrashState, crash: Crash, now: Milliseconds): void {
	const {route, target, isBlamed, isIsolated} = crash;
	const isNew = recordTaskCrash(state, crash, now);
	if (!isNew || !isBlamed || route === '') {
		return;
	}

	if (isIsolated) {
		addEvidence(state.routes, route, target, now);
	} else if (isCareful(state, route, now)) {
		addEvidence(state.escapes, route, target, now);
	}
}

/** Returns whether a task must not be started any more, as workers have crashed under it. */
export function isGivenUp({tasks}: CrashState, task: string): boolean {
	const record = tasks.get(task);
	return record !== undefined && (record.blamed.size >= maxBlamedCrashes || record.all.size >= maxCrashes);
}

/** Returns what is suspected of a task. */
export function getSuspicion({tasks}: CrashState, task: string): Suspicion {
	const record = tasks.get(task);
	if (record === undefined || (record.blamed.size === 0 && record.all.size < suspectCrashes)) {
		return 'none';
	}

	return record.isConfirmed ? 'confirmed' : 'possible';
}

/** Returns whether jobs of a route start with a canary. */
export function isCareful({routes}: CrashState, route: string, now: Milliseconds): boolean {
	return hasEvidence(routes.get(route), now);
}

function hasEvidence(evidence: RouteEvidence | undefined, now: Milliseconds): boolean {
	return evidence !== undefined && computeAmount(evidence, now) >= carefulAmount;
}

/** Lists the routes whose jobs start with a canary. */
export function listCarefulRoutes(state: CrashState, now: Milliseconds): readonly string[] {
	return [...state.routes.keys()].filter(route => isCareful(state, route, now));
}

/** Lists the careful routes of which all tasks stay on the quarantine agents, as not only their canaries crash workers. */
export function listConfinedRoutes(state: CrashState, now: Milliseconds): readonly string[] {
	return listCarefulRoutes(state, now).filter(route => hasEvidence(state.escapes.get(route), now));
}

/** Drops what is no longer needed. */
export function pruneCrashes(state: CrashState, now: Milliseconds): void {
	for (const [task, {recordedAt}] of state.tasks) {
		if (now - recordedAt < retentionMs) {
			break;
		}

		state.tasks.delete(task);
	}

	for (const evidence of [state.routes, state.escapes]) {
		for (const [route, entry] of evidence) {
			if (!hasEvidence(entry, now)) {
				evidence.delete(route);
			}
		}
	}
}

/**
 * Orders the agents for the isolated runs of a route, by rendezvous hashing: entries choose the same ones.
 *
 * @param route - Name of the route.
 * @param agents - Names of the agents of its target.
 * @returns The agents, the first choice first.
 */
export function listQuarantineOrder(route: string, agents: readonly NodeName[]): readonly NodeName[] {
	const weights = new Map(agents.map(agent => [agent, computeNameHash(`${route}/${agent}`)]));
	return [...agents].sort((left, right) => weights.get(right)! - weights.get(left)! || (left < right ? -1 : 1));
}

/** Computes on how many of a target's agents isolated runs of a route start. */
export function computeQuarantineSize(agentCount: number): number {
	return Math.max(1, Math.round(agentCount * quarantineShare));
}
