/**
 * The log of the program, based on `loglevel`: every line has a level and the name of its component.
 */
import process from 'node:process';
import loglevel from 'loglevel';
import type {Log, LogLevel} from '../../ports/log.ts';

/** Formats of log lines. */
export const logFormats = ['text', 'json'] as const;

/** Format of log lines: `text` for people, `json` for log collectors. */
export type LogFormat = (typeof logFormats)[number];

let format: LogFormat = 'text';
let processName = 'medlardale';

type LineWriter = (level: string, part: string, message: string) => string;

const lineWriters: Record<LogFormat, LineWriter> = {
	text: (level, part, message) => `${new Date().toISOString()} ${level.toUpperCase().padEnd(5)} ${processName} ${part}: ${message}\n`,
	json: (level, part, message) => `${JSON.stringify({
		time: new Date().toISOString(), level, process: processName, part, message,
	})}\n`,
};

loglevel.methodFactory = (level, _levelNumber, loggerName) => (...messages: unknown[]) => {
	process.stderr.write(lineWriters[format](level, String(loggerName), messages.map(String).join(' ')));
};

loglevel.setLevel('warn', false);

/**
 * Sets level and format of all log lines of this process.
 *
 * @param options - The least severe level that is written, the format, and the name of the process.
 */
export function setLogOptions(options: {level: LogLevel; format: LogFormat; processName: string}): void {
	format = options.format;
	processName = options.processName;
	loglevel.setDefaultLevel(options.level);
	loglevel.setLevel(options.level, false);
	for (const logger of Object.values(loglevel.getLoggers())) {
		logger.setLevel(options.level, false);
	}
}

/**
 * Creates the log of one component.
 *
 * @param part - Name of the component, such as `peer` or `home`.
 * @returns The log.
 */
export function createLog(part: string): Log {
	const logger = loglevel.getLogger(part);

	return {
		debug(message) {
			logger.debug(message);
		},
		info(message) {
			logger.info(message);
		},
		warn(message) {
			logger.warn(message);
		},
		error(message) {
			logger.error(message);
		},
	};
}
