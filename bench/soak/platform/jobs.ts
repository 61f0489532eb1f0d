/**
 * Jobs that the callers of the soak test submit.
 */
import type {Milliseconds} from '../../../src/ports/clock.ts';
import type {Random} from '../../../src/ports/random.ts';

/** Kind of jobs. */
export type JobKind = {
	/** Share of all jobs. */
	readonly share: number;
	readonly tasks: number;
	readonly runMs: Milliseconds;
	readonly deadlineMs: Milliseconds;
};

/** Need of each task, in thousandths of a core and in MB. */
export const taskCpu = 3000;
const taskMemoryMb = 64;

const kinds: readonly JobKind[] = [
	{
		share: 0.24, tasks: 8, runMs: 86, deadlineMs: 1517,
	},
	{
		share: 0.05, tasks: 4, runMs: 1286, deadlineMs: 4000,
	},
	{
		share: 0.71, tasks: 2, runMs: 286, deadlineMs: 1517,
	},
];

/** Limits of the run time of a task, as multiples of its estimate. */
const minRunFactor = 0.8;
const maxRunFactor = 1.25;

/** Draws the kind of a job. */
export function drawKind(random: Random): JobKind {
	let rest = random.getFloat();
	return kinds.find(({share}) => {
		rest -= share;
		return rest < 0;
	}) ?? kinds[0];
}

/** Creates the body of a job's submissions; its tasks run for about the time that they are estimated at. */
export function createJobBody({tasks, runMs}: JobKind, random: Random): string {
	const factor = minRunFactor + ((maxRunFactor - minRunFactor) * random.getFloat());
	return JSON.stringify({
		BestEffort: true,
		Spec: JSON.stringify({runMs: Math.round(runMs * factor)}),
		Steps: [{
			Count: tasks, Cpu: taskCpu, MemMb: taskMemoryMb, EstimateMs: runMs,
		}],
	});
}

/** Returns the run time of a task from its `Spec`. */
export function parseRunMs(spec: string): Milliseconds {
	const {runMs} = JSON.parse(spec) as {runMs: Milliseconds};
	return runMs;
}

/** Returns the job of a task. */
export function getJobId(task: string): string {
	return task.split('.', 1)[0];
}
