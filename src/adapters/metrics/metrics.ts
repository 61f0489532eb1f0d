/**
 * Renders metrics in the text format of Prometheus; `prom-client` is loaded on first use.
 */
import type * as Prometheus from 'prom-client';
import type {Counter, Gauge, Registry} from 'prom-client';
import type {
	Histogram, HistogramConfig, Metric, MetricSource,
} from '../../ports/metrics.ts';

/** Metrics of one process. */
export type Metrics = {
	/** Adds a source of metrics, which is read at each rendering. */
	addSource(source: MetricSource): void;
	/** Creates a histogram; loads `prom-client`. */
	createHistogram(config: HistogramConfig): Promise<Histogram>;
	/** Renders all metrics. */
	renderMetrics(): Promise<string>;
};

type Library = typeof Prometheus;

type MetricObject = Counter | Gauge;

const objectTypes: Record<Metric['type'], (library: Library) => new (config: {name: string; help: string; labelNames: string[]; registers: Registry[]}) => MetricObject> = {
	counter: library => library.Counter,
	gauge: library => library.Gauge,
};

function addMetric(library: Library, registry: Registry, metric: Metric): void {
	const MetricType = objectTypes[metric.type](library);
	const labelNames = [...new Set(metric.samples.flatMap(({labels}) => Object.keys(labels)))];
	const object = new MetricType({
		name: metric.name, help: metric.help, labelNames, registers: [registry],
	});
	for (const {labels, value} of metric.samples) {
		object.inc(labels, value);
	}
}

/**
 * Creates the metrics of a process.
 *
 * @returns Metrics without sources.
 */
export function createMetrics(): Metrics {
	const sources: MetricSource[] = [];
	let histograms: Registry | undefined;

	return {
		addSource(source) {
			sources.push(source);
		},
		async createHistogram({name, help, labelNames, bounds}) {
			const library = await import('prom-client');
			histograms ??= new library.Registry();
			const histogram = new library.Histogram({
				name, help, labelNames: [...labelNames], buckets: [...bounds], registers: [histograms],
			});
			return {
				observeValue(labels, value) {
					histogram.observe(labels, value);
				},
			};
		},
		async renderMetrics() {
			const library = await import('prom-client');
			const registry = new library.Registry();
			library.collectDefaultMetrics({register: registry});
			for (const metric of sources.flatMap(source => source())) {
				addMetric(library, registry, metric);
			}

			const texts = [await registry.metrics(), await histograms?.metrics() ?? ''];
			return texts.join('\n');
		},
	};
}
