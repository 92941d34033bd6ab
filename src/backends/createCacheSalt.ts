/*
 * Creates the cache salt, by which an engine separates the cached prefixes of different scopes.
 */
import { PrefixScope } from "../routing";

/**
 * Creates the salt of a scope.
 * @param scope - The workspace, model and weights version.
 */
export function createCacheSalt(scope: PrefixScope): string {
    return JSON.stringify({ workspace: scope.workspace, model: scope.model, version: scope.version });
}
