import { expect } from "chai";
import { admitRequest } from "../../src/forwarding/admitRequest";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFeedState } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestRequest } from "./createTestRequest";

describe("admitRequest, to one of a route's services", () => {
    function getService(weights: readonly number[], fraction: number): string {
        const names = ["models", "actions", "others"];
        const document = createTestDocument();
        const services = weights.map((weight, index) => ({ service: names[Math.min(index, 2)]!, weight }));
        const state = createTestFeedState(createManualClock(), [], {
            routes: document.routes.map(route => ({ ...route, services })),
            services: names.map(name => ({ kind: "plain", name, healthPath: "/health", maximumConnections: 1 })),
        });
        const random = { getFraction: () => fraction, getInteger: () => 0 };
        const admission = admitRequest(createTestRequest(), state, Infinity, random);
        return admission.kind === "admitted" ? admission.service.name : "refused";
    }

    const lastFraction = 1 - Number.EPSILON / 2;

    function doTest(weights: readonly number[], expected: readonly [first: string, middle: string, last: string]) {
        it(`chooses by the weights ${weights.join(", ")}`, () =>
            expect([0, 0.5, lastFraction].map(fraction => getService(weights, fraction))).to.deep.equal(expected));
    }

    doTest([1, 1, 2], ["models", "others", "others"]);
    doTest([0, 3, 0], ["actions", "actions", "actions"]);
    doTest([1e308, 1e308, 1e308], ["models", "actions", "others"]);
    doTest([Number.MIN_VALUE], ["models", "models", "models"]);
    doTest([Number.MIN_VALUE, 0], ["models", "models", "models"]);
    doTest([0.1, 0.2, 0.4], ["models", "others", "others"]);
    doTest([0.7, 0.1, 0], ["models", "models", "actions"]);
    it("chooses among as many weights as a document can hold", () => {
        const weights = Array.from({ length: 500_000 }, (...[, index]) => Number(index === 1));
        expect(getService(weights, 0.5)).to.equal("actions");
    });

    doTest([1e-300, 1e308, 1], ["actions", "actions", "actions"]);
});
