/**
 * An emulated process: its clock and timers, and pauses during which nothing is handled.
 */
import type {Milliseconds} from '../../src/ports/clock.ts';
import type {Random} from '../../src/ports/random.ts';
import type {EventQueue} from '../event-queue.ts';

/**
 * What happens to the clock of a process during a pause.
 *
 * - `frozen`: it goes on.
 * - `suspended`: it stands still, so that it is behind afterwards.
 */
export type PauseKind = 'frozen' | 'suspended';

type ProcessTimer = {readonly dueAt: Milliseconds; readonly incarnation: number; readonly run: () => void};

/** Tolerance in comparisons of times, in ms. */
const tolerance = 1e-6;

/** An emulated process. */
export class EmulatedProcess {
	/** Number of this life, from 1. */
	incarnation = 1;
	isUp = true;
	/** When this life began, on its own clock. */
	startedAt = 0;
	#isPaused = false;
	#clockStoppedAt: Milliseconds | undefined;
	/** Time by which its clock is behind. */
	#lag = 0;
	#messages: Array<() => void> = [];
	#timers: ProcessTimer[] = [];

	/**
	 * @param name - Name of the process.
	 * @param events - Simulated time.
	 * @param random - Random source.
	 */
	constructor(readonly name: string, private readonly events: EventQueue, private readonly random: Random) {}

	/** Returns the time on the clock of the process. */
	getTime(): Milliseconds {
		return (this.#clockStoppedAt ?? this.events.getTime()) - this.#lag;
	}

	/** Runs a callback after a time on the clock of the process, unless it has ended by then. */
	startTimer(delay: Milliseconds, run: () => void): void {
		this.#addTimer({dueAt: this.getTime() + delay, incarnation: this.incarnation, run});
	}

	/** Runs a callback at a fixed interval until the process ends. */
	startInterval(period: Milliseconds, run: () => void): void {
		this.startTimer(period, () => {
			run();
			this.startInterval(period, run);
		});
	}

	/** Handles something that has arrived, after the pause if there is one; a process that is down handles nothing. */
	handleArrival(handle: () => void): void {
		if (!this.isUp) {
			return;
		}

		if (this.#isPaused) {
			this.#messages.push(handle);
		} else {
			handle();
		}
	}

	/** Pauses the process; ignored if it is paused already or down. */
	startPause(duration: Milliseconds, kind: PauseKind): void {
		if (this.#isPaused || !this.isUp) {
			return;
		}

		this.#isPaused = true;
		this.#clockStoppedAt = kind === 'suspended' ? this.events.getTime() : undefined;
		const {incarnation} = this;
		this.events.addEvent(duration, () => {
			if (this.incarnation === incarnation && this.isUp) {
				this.#endPause();
			}
		});
	}

	/** Ends this life of the process. */
	endLife(): void {
		this.isUp = false;
		this.#isPaused = false;
		this.#clockStoppedAt = undefined;
		this.#messages = [];
		this.#timers = [];
	}

	/** Begins the next life. */
	startLife(): void {
		this.incarnation++;
		this.isUp = true;
		this.#lag = 0;
		this.startedAt = this.getTime();
	}

	/** Handles what has become due, timers first or messages first. */
	#endPause(): void {
		if (this.#clockStoppedAt !== undefined) {
			this.#lag += this.events.getTime() - this.#clockStoppedAt;
			this.#clockStoppedAt = undefined;
		}

		this.#isPaused = false;
		const messages = this.#messages;
		const timers = this.#timers.sort((left, right) => left.dueAt - right.dueAt);
		this.#messages = [];
		this.#timers = [];
		const runTimers = (): void => {
			for (const timer of timers) {
				this.#runTimer(timer);
			}
		};

		const areTimersFirst = this.random.getFloat() < 0.5;
		if (areTimersFirst) {
			runTimers();
		}

		for (const handle of messages) {
			this.handleArrival(handle);
		}

		if (!areTimersFirst) {
			runTimers();
		}
	}

	#addTimer(timer: ProcessTimer): void {
		this.events.addEvent(Math.max(0, timer.dueAt - this.getTime()), () => {
			this.#runTimer(timer);
		});
	}

	#runTimer(timer: ProcessTimer): void {
		if (!this.isUp || this.incarnation !== timer.incarnation) {
			return;
		}

		if (this.#isPaused) {
			this.#timers.push(timer);
		} else if (this.getTime() < timer.dueAt - tolerance) {
			this.#addTimer(timer);
		} else {
			timer.run();
		}
	}
}
