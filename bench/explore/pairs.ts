/**
 * Counts plays by pair of faults.
 */
import type {FaultName} from './types.ts';

/** Plays with a pair of faults, or with one fault if both are the same. */
export type PairCount = {readonly faults: readonly [FaultName, FaultName]; plays: number; failures: number};

/** Numbers of plays and of failed plays by pair of faults. */
export class PairCounts {
	readonly #counts = new Map<string, PairCount>();

	/** @param names - The faults that may be drawn; a play's faults are among them or are brought along by one. */
	constructor(private readonly names: readonly FaultName[]) {
		for (const [index, name] of names.entries()) {
			for (const other of names.slice(index)) {
				this.#addPair(name, other);
			}
		}
	}

	/** Counts a play. */
	recordPlay(faults: readonly FaultName[], hasFailed: boolean): void {
		for (const [index, name] of faults.entries()) {
			for (const other of faults.slice(index)) {
				const count = this.#findPair(name, other) ?? this.#addPair(name, other);
				count.plays++;
				count.failures += hasFailed ? 1 : 0;
			}
		}
	}

	/** Lists all pairs, and each fault as a pair with itself. */
	listPairs(): readonly PairCount[] {
		return [...this.#counts.values()];
	}

	/** Lists the pairs of two faults without a play. */
	listUnplayed(): readonly PairCount[] {
		return this.listPairs().filter(({plays}) => plays === 0);
	}

	/** Renders a table with a row and a column for each fault; a cell shows plays, and failures after a slash. */
	renderTable(): string {
		const names = [...new Set([...this.names, ...this.listPairs().flatMap(({faults}) => faults)])];
		const width = Math.max(...names.map(name => name.length)) + 4;
		const rows = names.map((name, row) => {
			const cells = names.slice(0, row + 1).map(other => {
				const {plays, failures} = this.#findPair(name, other) ?? {plays: 0, failures: 0};
				return (failures > 0 ? `${plays}/${failures}` : String(plays)).padStart(6);
			});
			return `${String(row + 1).padStart(2)} ${name.padEnd(width)}${cells.join('')}`;
		});
		const head = `${''.padEnd(width + 3)}${names.map((_, column) => String(column + 1).padStart(6)).join('')}`;
		return `${[head, ...rows].join('\n')}\n`;
	}

	#findPair(name: FaultName, other: FaultName): PairCount | undefined {
		return this.#counts.get(`${name}+${other}`) ?? this.#counts.get(`${other}+${name}`);
	}

	#addPair(name: FaultName, other: FaultName): PairCount {
		const count: PairCount = {faults: [name, other], plays: 0, failures: 0};
		this.#counts.set(`${name}+${other}`, count);
		return count;
	}
}
