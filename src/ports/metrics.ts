/**
 * Port for metrics. Components list their samples on demand, so that counting an event costs only an addition.
 */

/** Labels of a sample. */
export type MetricLabels = Readonly<Record<string, string>>;

/** One value of a metric. */
export type MetricSample = {
	readonly labels: MetricLabels;
	readonly value: number;
};

/** A metric with its current samples; `counter` values never decrease within one process. */
export type Metric = {
	/** Name with unit, such as `medlardale_home_bytes`. */
	readonly name: string;
	readonly help: string;
	readonly type: 'counter' | 'gauge';
	readonly samples: readonly MetricSample[];
};

/** Counts observed values by bucket. */
export type Histogram = {
	/** Adds one value, in the unit of the metric's name. */
	observeValue(labels: MetricLabels, value: number): void;
};

/** Describes a histogram. */
export type HistogramConfig = {
	readonly name: string;
	readonly help: string;
	readonly labelNames: readonly string[];
	/** Upper bounds of the buckets, in the unit of the name. */
	readonly bounds: readonly number[];
};

/** Lists the metrics of one component. */
export type MetricSource = () => readonly Metric[];
