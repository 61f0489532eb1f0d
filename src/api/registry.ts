/**
 * Registries of members, such as commands, that are looked up by name and loaded when needed.
 */

/** Loads a member; large members import their module here, so that it is loaded only when needed. */
export type Loader<Member> = () => Member | Promise<Member>;

/** A registry of members of one kind. */
export type Registry<Member> = {
	/** Adds a member; throws `RegistryError` if the name is registered already. */
	addMember(name: string, loader: Loader<Member>): void;
	/** Loads the member of that name; throws `RegistryError` if there is none. */
	loadMember(name: string): Promise<Member>;
	/** Lists the names in the order of registration. */
	listNames(): string[];
};

/** Thrown when a name is unknown or registered twice. */
export class RegistryError extends Error {
	override readonly name = 'RegistryError';
}

/**
 * Creates an empty registry.
 *
 * @param kind - What the members are, for error messages, such as `command`.
 * @returns The registry.
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
