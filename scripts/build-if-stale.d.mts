/** Bundles the processes that the tests start, unless the bundle is up to date. */
export function buildIfStale(): void;
