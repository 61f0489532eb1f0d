/**
 * Tables of named members (policies, commands, message handlers) that the core looks up by name.
 */

/** Loads a member; heavy members import their module here, on first use. */
export type Loader<Member> = () => Member | Promise<Member>;

/** A table of members of one kind. */
export type Registry<Member> = {
	/** Adds a member; a name can be taken once. */
	addMember(name: string, loader: Loader<Member>): void;
	/** Loads the member of that name. */
	loadMember(name: string): Promise<Member>;
	/** Lists the names in the order of registration. */
	listNames(): string[];
};

/** Raised when a name is unknown or taken twice. */
export class RegistryError extends Error {
	override readonly name = 'RegistryError';
}

/**
 * Creates an empty table.
 *
 * @param kind - What the members are, for error messages, such as `placement policy`.
 * @returns The table.
 */
export function createRegistry<Member>(kind: string): Registry<Member> {
	const loaders = new Map<string, Loader<Member>>();

	return {
		addMember(name, loader) {
			if (loaders.has(name)) {
				throw new RegistryError(`${kind} "${name}" is registered twice`);
			}

			loaders.set(name, loader);
		},
		async loadMember(name) {
			const loader = loaders.get(name);
			if (loader === undefined) {
				const known = [...loaders.keys()].join(', ');
				throw new RegistryError(`unknown ${kind} "${name}"; known: ${known}`);
			}

			return loader();
		},
		listNames: () => [...loaders.keys()],
	};
}
