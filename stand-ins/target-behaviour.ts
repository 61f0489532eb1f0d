/**
 * How the stand-in target runs tasks: run time and failures.
 */

/** Failure modes of the stand-in. */
export const failureModes = ['none', 'fail', 'slow', 'hang'] as const;

/** `fail` responds with status 500 at once, `slow` multiplies run times, `hang` never responds. */
export type FailureMode = (typeof failureModes)[number];

/** Distributions of run times. */
export const runTimeModes = ['fixed', 'exponential'] as const;

/** `fixed` always takes `runMs`; `exponential` has `runMs` as its mean. */
export type RunTimeMode = (typeof runTimeModes)[number];

/** How tasks run; a task body `{"runMs": N}` sets the run time of that task. */
export type TargetBehaviour = {
	readonly runTime: RunTimeMode;
	readonly runMs: number;
	readonly failure: FailureMode;
	/** Factor for run times in failure mode `slow`. */
	readonly slowFactor: number;
};

/** Behaviour of a target that is started without options. */
export const defaultBehaviour: TargetBehaviour = {
	runTime: 'fixed', runMs: 50, failure: 'none', slowFactor: 10,
};

const runTimeSamplers: Record<RunTimeMode, (runMs: number) => number> = {
	fixed: runMs => runMs,
	exponential: runMs => -runMs * Math.log(1 - Math.random()),
};

function findTaskRunTime(body: unknown): number | undefined {
	const runMs = (body as {runMs?: unknown} | null | undefined)?.runMs;
	return typeof runMs === 'number' && runMs >= 0 ? runMs : undefined;
}

/**
 * Computes the run time of a task.
 *
 * @param behaviour - Distribution and failure mode.
 * @param body - The task's body as parsed JSON; its `runMs`, if any, replaces the distribution.
 * @returns The run time in ms.
 */
export function computeRunTime(behaviour: TargetBehaviour, body: unknown): number {
	const runMs = findTaskRunTime(body) ?? runTimeSamplers[behaviour.runTime](behaviour.runMs);
	return behaviour.failure === 'slow' ? runMs * behaviour.slowFactor : runMs;
}
