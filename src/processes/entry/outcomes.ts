/**
 * Counts the outcomes of jobs per customer: totals for metrics, and the success rate over a window.
 */
import type {Milliseconds} from '../../ports/clock.ts';
import type {CustomerReport} from '../../ports/control.ts';
import type {Histogram, Metric} from '../../ports/metrics.ts';

const bucketMs = 10_000;

/** Number of buckets of the window of the success rate. */
const bucketCount = 30;

const msPerSecond = 1000;

type Bucket = {
	startedAt: Milliseconds;
	complete: number;
	ended: number;
};

type CustomerOutcomes = {
	/** Jobs by `outcome reason`. */
	readonly totals: Map<string, number>;
	readonly buckets: Bucket[];
};

/** Counts outcomes at one entry. */
export class OutcomeCounts {
	readonly #customers = new Map<string, CustomerOutcomes>();

	/** @param responses - Histogram of response times, in seconds. */
	constructor(private readonly responses: Histogram) {}

	/**
	 * Records that an admitted job ended.
	 *
	 * @param customer - The customer.
	 * @param outcome - `complete`, or outcome and reason.
	 * @param responseTime - Time from the request to the answer.
	 * @param now - Present time.
	 */
	recordEnd(customer: string, outcome: string, responseTime: Milliseconds, now: Milliseconds): void {
		const outcomes = this.#getOutcomes(customer);
		outcomes.totals.set(outcome, (outcomes.totals.get(outcome) ?? 0) + 1);
		const bucket = this.#getBucket(outcomes, now);
		bucket.ended++;
		bucket.complete += outcome === 'complete' ? 1 : 0;
		this.responses.observeValue({customer}, responseTime / msPerSecond);
	}

	/**
	 * Records that a job was refused by its contract; it does not count against the success rate.
	 *
	 * @param customer - The customer.
	 * @param reason - The limit.
	 */
	recordRefusal(customer: string, reason: string): void {
		const {totals} = this.#getOutcomes(customer);
		const key = `refused ${reason}`;
		totals.set(key, (totals.get(key) ?? 0) + 1);
	}

	/**
	 * Lists the outcomes per customer.
	 *
	 * @param now - Present time.
	 * @returns One report per customer seen here.
	 */
	listReports(now: Milliseconds): CustomerReport[] {
		return [...this.#customers].map(([customer, {totals, buckets}]) => {
			const recent = buckets.filter(({startedAt}) => now - startedAt < bucketMs * bucketCount);
			return {
				customer,
				ended: recent.reduce((sum, {ended}) => sum + ended, 0),
				complete: recent.reduce((sum, {complete}) => sum + complete, 0),
				totals: Object.fromEntries(totals),
			};
		});
	}

	/**
	 * Lists the metrics of this part.
	 *
	 * @param now - Present time.
	 * @returns Totals and success rates.
	 */
	listMetrics(now: Milliseconds): Metric[] {
		const reports = this.listReports(now);
		const rates = reports.filter(({ended}) => ended > 0);
		return [
			{
				name: 'medlardale_jobs_total',
				help: 'Jobs by customer and outcome',
				type: 'counter',
				samples: reports.flatMap(({customer, totals}) => Object.entries(totals).map(([outcome, value]) => ({labels: {customer, outcome}, value}))),
			},
			{
				name: 'medlardale_success_ratio',
				help: 'Share of admitted jobs that completed, over five minutes',
				type: 'gauge',
				samples: rates.map(({customer, complete, ended}) => ({labels: {customer}, value: complete / ended})),
			},
		];
	}

	#getOutcomes(customer: string): CustomerOutcomes {
		let outcomes = this.#customers.get(customer);
		if (outcomes === undefined) {
			outcomes = {totals: new Map(), buckets: []};
			this.#customers.set(customer, outcomes);
		}

		return outcomes;
	}

	#getBucket({buckets}: CustomerOutcomes, now: Milliseconds): Bucket {
		const startedAt = Math.floor(now / bucketMs) * bucketMs;
		let bucket = buckets.at(-1);
		if (bucket?.startedAt !== startedAt) {
			bucket = {startedAt, complete: 0, ended: 0};
			buckets.push(bucket);
			buckets.splice(0, buckets.length - bucketCount);
		}

		return bucket;
	}
}
