/*
 * The routes of a soak: two for streams, one for unsafe and one for safe requests.
 */

/** The routes. Only the requests of routes with `mayRepeat` may run more than once. */
export const soakRoutes = [
    { prefix: "/summary/", kind: "stream", service: "engines", isStream: true, mayRepeat: false, maximumAttempts: 1 },
    { prefix: "/label/", kind: "stream", service: "engines", isStream: true, mayRepeat: true, maximumAttempts: 2 },
    { prefix: "/release/", kind: "unsafe", service: "actions", isStream: false, mayRepeat: false, maximumAttempts: 1 },
    { prefix: "/read/", kind: "safe", service: "actions", isStream: false, mayRepeat: true, maximumAttempts: 2 },
];
