/**
 * How the stand-in target runs tasks: run time and failures.
 */

/** Failure modes of the stand-in. */
export const failureModes = ['none', 'fail', 'slow', 'hang'] as const;

/** `fail` answers 500 at once, `slow` multiplies run times, `hang` never answers. */
export type FailureMode = (typeof failureModes)[number];

/** Distributions of run times. */
export const runTimeModes = ['fixed', 'exponential'] as const;

/** `fixed` takes `runMs` each time, `exponential` has it as mean. */
export type RunTimeMode = (typeof runTimeModes)[number];

/** How tasks run; a task body `{"runMs": N}` sets the run time of that task. */
export type TargetBehaviour = {
	readonly runTime: RunTimeMode;
	readonly runMs: number;
	readonly failure: FailureMode;
	/** Factor on run times under `slow`. */
	readonly slowFactor: number;
};

/** Behaviour when nothing else is said. */
export const defaultBehaviour: TargetBehaviour = {
	runTime: 'fixed', runMs: 50, failure: 'none', slowFactor: 10,
};

const samplers: Record<RunTimeMode, (runMs: number) => number> = {
	fixed: runMs => runMs,
	exponential: runMs => -runMs * Math.log(1 - Math.random()),
};

function findOwnRunTime(body: unknown): number | undefined {
	const runMs = (body as {runMs?: unknown} | null | undefined)?.runMs;
	return typeof runMs === 'number' && runMs >= 0 ? runMs : undefined;
}

/**
 * Computes how long a task runs.
 *
 * @param behaviour - Distribution and failure mode.
 * @param body - The task's body as parsed JSON.
 * @returns The run time in ms.
 */
export function computeRunTime(behaviour: TargetBehaviour, body: unknown): number {
	const runMs = findOwnRunTime(body) ?? samplers[behaviour.runTime](behaviour.runMs);
	return behaviour.failure === 'slow' ? runMs * behaviour.slowFactor : runMs;
}
