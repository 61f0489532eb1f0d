/**
 * Derives metrics from the decisions that a process logs, so that metrics and log lines agree. Decisions
 * are counted even if their lines are omitted.
 */
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';
import type {DecisionLog} from '../../ports/decision-log.ts';

/** Fields that hold the result of a decision; the first one present becomes the label `result`. */
const resultFields = ['outcome', 'end', 'answer', 'reason', 'kind', 'state', 'source'] as const;

/** Durations in decisions, by event and field, in ms; each becomes a histogram with the label `result`. */
const timeMetrics: Readonly<Record<string, Readonly<Record<string, {readonly name: string; readonly help: string}>>>> = {
	'job-answered': {
		ms: {name: 'medlardale_job_seconds', help: 'Time between a submission and its answer'},
	},
	'task-ended': {
		runMs: {name: 'medlardale_task_run_seconds', help: 'Time between the start of a task and its end'},
		waitMs: {name: 'medlardale_task_wait_seconds', help: 'Time of a task in the queue of an agent'},
	},
};

/** Upper bounds of the histograms, in seconds; tasks take 50 ms to several seconds. */
const buckets = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Upper bounds of the ratio of measured to expected run times; it should be near 1. */
const ratioBuckets = [0.2, 0.5, 0.8, 1, 1.25, 2, 5, 10];

/** Reads the current values of gauges, by name. */
export type GaugeReader = () => Readonly<Record<string, number>>;

/** A decision log with metrics. */
export type CountedDecisionLog = DecisionLog & {
	/** Adds to the count of an event with a result, without a line. */
	addCount(event: string, result: string, count: number): void;
	/** Sets the reader of the gauges. */
	setGauges(read: GaugeReader): void;
	/** Renders all metrics in the text format of Prometheus. */
	renderMetrics(): Promise<string>;
};

function getResult(fields: Readonly<Record<string, unknown>>): string {
	for (const field of resultFields) {
		const value = fields[field];
		if (typeof value === 'string' && value !== 'none') {
			return value;
		}
	}

	return '';
}

/**
 * Creates a log that counts decisions and forwards them.
 *
 * @param log - The log that writes the decisions.
 * @returns The log.
 */
export function createCountedLog(log: DecisionLog): CountedDecisionLog {
	const registry = new Registry();
	const registers = [registry];
	const decisions = new Counter({
		name: 'medlardale_decisions_total', help: 'Decisions by event and result', labelNames: ['event', 'result', 'reason'], registers,
	});
	const histograms = new Map(Object.values(timeMetrics).flatMap(metrics => Object.values(metrics).map(({name, help}) =>
		[name, new Histogram({
			name, help, labelNames: ['result'], buckets, registers,
		})] as const)));
	const ratios = new Histogram({
		name: 'medlardale_task_run_ratio', help: 'Measured by expected run time of completed tasks', buckets: ratioBuckets, registers,
	});
	const gauges = new Map<string, Gauge>();
	let readGauges: GaugeReader = () => ({});

	function updateGauges(): void {
		for (const [name, value] of Object.entries(readGauges())) {
			const gauge = gauges.get(name) ?? new Gauge({name: `medlardale_${name}`, help: name.replaceAll('_', ' '), registers});
			gauges.set(name, gauge);
			gauge.set(value);
		}
	}

	return {
		recordDecision(level, event, fields) {
			const result = getResult(fields);
			const reason = typeof fields.reason === 'string' && event === 'job-answered' ? fields.reason : '';
			decisions.inc({event, result, reason});
			for (const [field, {name}] of Object.entries(timeMetrics[event] ?? {})) {
				histograms.get(name)!.observe({result}, Number(fields[field]) / 1000);
			}

			if (event === 'task-ended' && fields.end === 'done' && Number(fields.expectedMs) > 0) {
				ratios.observe(Number(fields.runMs) / Number(fields.expectedMs));
			}

			log.recordDecision(level, event, fields);
		},
		addCount(event, result, count) {
			decisions.inc({event, result, reason: ''}, count);
		},
		setGauges(read) {
			readGauges = read;
		},
		async renderMetrics() {
			updateGauges();
			return registry.metrics();
		},
	};
}
