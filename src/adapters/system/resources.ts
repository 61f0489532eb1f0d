/**
 * A stack of resources that are disposed of together in reverse order; Node.js 20 has no `AsyncDisposableStack`.
 */

/** Owns resources until it is disposed of or moved. */
export class ResourceStack implements AsyncDisposable {
	#resources: Array<AsyncDisposable | Disposable> = [];

	/**
	 * Adds a resource.
	 *
	 * @param resource - The resource to dispose of with the stack.
	 * @returns The resource itself.
	 */
	addResource<Resource extends AsyncDisposable | Disposable>(resource: Resource): Resource {
		this.#resources.push(resource);
		return resource;
	}

	/**
	 * Moves all resources to a new stack.
	 *
	 * @returns The new owner.
	 */
	moveResources(): ResourceStack {
		const moved = new ResourceStack();
		moved.#resources = this.#resources;
		this.#resources = [];
		return moved;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		const resources = this.#resources.reverse();
		this.#resources = [];
		for (const resource of resources) {
			if (Symbol.asyncDispose in resource) {
				await resource[Symbol.asyncDispose]();
			} else {
				resource[Symbol.dispose]();
			}
		}
	}
}
