import { expect } from "chai";
import * as fc from "fast-check";
import { createRouteTable } from "../../src/documents";
import { createTestDocument } from "./createTestDocument";

describe("createRouteTable", () => {
    const [route] = createTestDocument().routes;
    const prefixes = ["/", "/a/", "/a/b/", "/a/b/c/", "/ab/"];
    const routes = prefixes.map(pathPrefix => ({ ...route!, name: pathPrefix, pathPrefix }));
    const table = createRouteTable(createTestDocument({ routes }));

    describe("getRoute", () => {
        function doTest(host: string, path: string, expected: string | undefined) {
            expect(table.getRoute(host, path)?.name).to.equal(expected);
        }

        it("returns the route with the longest matching prefix", () => doTest("one.example", "/a/b/x", "/a/b/"));
        it("matches a prefix that equals the whole path", () => doTest("one.example", "/a/b/c/", "/a/b/c/"));
        it("does not match a prefix whose final slash the path lacks", () => doTest("one.example", "/a", "/"));
        it("compares hosts without regard to case", () => doTest("One.Example", "/ab/x", "/ab/"));
        it("returns undefined for an unknown host", () => doTest("two.example", "/a/", undefined));

        it("returns the same route as a linear search", () => {
            const segment = fc.constantFrom("a", "b", "c", "ab", "");
            fc.assert(
                fc.property(fc.array(segment, { maxLength: 5 }), segments => {
                    const path = `/${segments.join("/")}`;
                    const expected = prefixes.filter(prefix => path.startsWith(prefix))
                        .sort((left, right) => right.length - left.length)[0];
                    expect(table.getRoute("one.example", path)?.name).to.equal(expected);
                }),
                { seed: 7, numRuns: 300 },
            );
        });
    });

    it("returns the workspace of an API key", () => {
        expect(table.getWorkspace("alpha-key")?.name).to.equal("alpha");
        expect(table.getWorkspace("other")).to.equal(undefined);
    });

    it("returns the KV cache stores", () => {
        expect(table.getKvCacheStores().map(store => store.address)).to.deep.equal(["10.0.0.9:80"]);
    });
});
