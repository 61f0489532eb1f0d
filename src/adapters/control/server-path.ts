/**
 * Path of operators' calls, shared by client and server.
 */

/** First part of the path of operators' calls. */
export const controlPath = '/trpc';
