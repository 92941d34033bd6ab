import { expect } from "chai";
import { getDocumentProblem, RoutingDocument } from "../../src/documents";
import { createTestDocument } from "./createTestDocument";

describe("getDocumentProblem", () => {
    const [route] = createTestDocument().routes;
    const [workspace] = createTestDocument().workspaces!;

    function doTest(changes: Partial<RoutingDocument>, expected: string | undefined) {
        expect(getDocumentProblem(createTestDocument(changes))).to.equal(expected);
    }

    it("returns undefined for a valid document", () => doTest({}, undefined));
    it("accepts a document without workspaces", () => doTest({ workspaces: undefined }, undefined));
    it("rejects a route to an unknown service", () =>
        doTest(
            { routes: [{ ...route!, services: [{ service: "nowhere", weight: 1 }] }] },
            "route summaries: there is no service nowhere",
        ));
    it("rejects two routes with the same host and path prefix, regardless of the host's case", () =>
        doTest(
            { routes: [route!, { ...route!, name: "other", host: "ONE.example" }] },
            "routes: two share the host and path one.example /summaries/",
        ));
    it("rejects weights that add up to 0", () =>
        doTest(
            { routes: [{ ...route!, services: [{ service: "models", weight: 0 }] }] },
            "route summaries: the weights of its services add up to 0",
        ));
    it("rejects a timeout of 0", () =>
        doTest({ routes: [{ ...route!, timeoutMilliseconds: 0 }] }, "route summaries: its timeout must be above 0"));
    it("rejects a path prefix without a final slash", () =>
        doTest(
            { routes: [{ ...route!, pathPrefix: "/summaries" }] },
            "route summaries: its path prefix must begin and end with a slash",
        ));
    it("rejects two workspaces with the same API key", () =>
        doTest(
            { workspaces: [workspace!, { ...workspace!, name: "beta" }] },
            "workspaces: alpha and beta share a key",
        ));
    it("rejects two workspaces with the same name", () =>
        doTest(
            { workspaces: [workspace!, { ...workspace!, apiKeys: ["other"] }] },
            "workspaces: alpha stands there twice",
        ));
    it("rejects two services with the same name", () =>
        doTest(
            {
                services: [...createTestDocument().services, {
                    kind: "plain",
                    name: "models",
                    healthPath: "/health",
                    maximumConnections: 1,
                }],
            },
            "services: models stands there twice",
        ));
});
