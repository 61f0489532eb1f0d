/**
 * Port for logging; each component logs under its own prefix.
 */

/** Severity of a log line, least severe first. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'silent'] as const;

/** One of the severities, or `silent` for no lines at all. */
export type LogLevel = (typeof logLevels)[number];

/** Writes the log lines of one component. */
export type Log = {
	debug(message: string): void;
	info(message: string): void;
	warn(message: string): void;
	error(message: string): void;
};
