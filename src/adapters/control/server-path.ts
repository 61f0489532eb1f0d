/**
 * Path of the calls of operators, shared by client and server.
 */

/** First segment of the path of each call. */
export const controlPath = '/trpc';
