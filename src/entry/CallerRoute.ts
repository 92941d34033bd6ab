/*
 * The routes that callers' HTTP requests can take.
 */

/** The route of a caller's request, by its method and path. */
export type CallerRoute =
    | { kind: "completion"; isChat: boolean; }
    | { kind: "service"; service: string; path: string; }
    | { kind: "models"; }
    | { kind: "notFound"; };
