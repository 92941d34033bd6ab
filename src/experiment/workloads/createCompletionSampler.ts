/*
 * Draws completions: who asks, for what, and with which nested prefixes.
 */
import { PriorityName } from "../../control/configuration";
import { RandomSource } from "../../runtime";
import { chooseIndexByWeight } from "./chooseIndexByWeight";
import { CompletionTemplate } from "./CompletionTemplate";
import { getZipfWeights } from "./getZipfWeights";
import { PromptPart } from "./PromptPart";
import { WorkloadProfile } from "./WorkloadProfile";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

const blockTokens = 4_096;
const popularityShiftDocuments = 17;

interface CompletionSampler {
    /**
     * Draws a completion.
     * @param isShifted - Whether other documents are the popular ones by now.
     * @param subscriber - Who asks; drawn too where absent.
     */
    draw(isShifted: boolean, subscriber?: WorkloadSubscriber): CompletionTemplate;
}

/** Creates the source of a workload's completions. */
export function createCompletionSampler(
    profile: WorkloadProfile,
    subscribers: readonly WorkloadSubscriber[],
    random: RandomSource,
): CompletionSampler {
    const documentWeights = getZipfWeights(profile.documentsPerWorkspace);
    let drawnCount = 0;
    return { draw };

    function draw(isShifted: boolean, fixedSubscriber?: WorkloadSubscriber): CompletionTemplate {
        drawnCount += 1;
        const subscriber = fixedSubscriber ?? drawSubscriber();
        return random.getFraction() < profile.shortShare
            ? drawShort(subscriber, isShifted)
            : drawLong(subscriber, isShifted);
    }

    function drawSubscriber(): WorkloadSubscriber {
        const workspace = chooseIndexByWeight(profile.workspaceShares, random.getFraction());
        const isHeavy = random.getFraction() < profile.heavyShare;
        const index = isHeavy
            ? random.getInteger(profile.heavySubscribers)
            : profile.heavySubscribers
                + random.getInteger(profile.subscribersPerWorkspace - profile.heavySubscribers);
        return subscribers[workspace * profile.subscribersPerWorkspace + index]!;
    }

    function drawShort(subscriber: WorkloadSubscriber, isShifted: boolean): CompletionTemplate {
        const { least, most } = profile.shortSharedBlocks;
        const sharedTokens = blockTokens * drawBetween(least, most);
        const shared = profile.isShortOnDocument
            ? { ...drawDocument(subscriber, isShifted), tokens: sharedTokens }
            : { id: `${subscriber.workspace}/${subscriber.team}/handbook`, tokens: sharedTokens };
        return {
            kind: "completion",
            subscriber,
            purpose: profile.shortPurpose,
            isShort: true,
            parts: [getWorkspacePart(subscriber), shared, drawTail(profile.shortTailTokens)],
            maximumTokens: profile.shortMaximumTokens,
            priority: PriorityName.Interactive,
        };
    }

    function drawLong(subscriber: WorkloadSubscriber, isShifted: boolean): CompletionTemplate {
        const document = drawDocument(subscriber, isShifted);
        return {
            kind: "completion",
            subscriber,
            purpose: "summary",
            isShort: false,
            parts: [getWorkspacePart(subscriber), document, drawTail(profile.longTailTokens)],
            maximumTokens: profile.longMaximumTokens,
            priority: PriorityName.Deferred,
        };
    }

    function getWorkspacePart(subscriber: WorkloadSubscriber): PromptPart {
        return { id: subscriber.workspace, tokens: profile.workspacePromptTokens };
    }

    /** Draws a document by its popularity; its length follows from its number. */
    function drawDocument(subscriber: WorkloadSubscriber, isShifted: boolean): PromptPart {
        const rank = chooseIndexByWeight(documentWeights, random.getFraction());
        const number = (rank + (isShifted ? popularityShiftDocuments : 0)) % profile.documentsPerWorkspace;
        return { id: `${subscriber.workspace}/document-${number}`, tokens: getDocumentTokens(number) };
    }

    /** Gets a document's length: most are short, a few long, without regard to their popularity. */
    function getDocumentTokens(number: number): number {
        const { least, most } = profile.documentBlocks;
        const position = number * 7 % profile.documentsPerWorkspace / profile.documentsPerWorkspace;
        return Math.round(blockTokens * (least + (most - least) * position * position));
    }

    function drawTail(range: { least: number; most: number; }): PromptPart {
        return { id: `tail-${drawnCount}`, tokens: drawBetween(range.least, range.most) };
    }

    function drawBetween(least: number, most: number): number {
        return least + random.getInteger(most - least + 1);
    }
}
