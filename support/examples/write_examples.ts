/**
 * Writes the example inventory and rules of both deployments to the `examples` directory.
 *
 * @module
 */
import { writeFile } from "node:fs/promises";
import { stringify } from "yaml";
import { BAGMATI, createInventory, type DeploymentPlan, SIGNALIS } from "../fixtures/inventories.ts";

const ENGINES = 13;
const SERVICES = 3;

async function writeExample(
    folder: string,
    options: { plan: DeploymentPlan; title: string; network: string; },
): Promise<void> {
    const { plan, title, network } = options;
    const engines = Array.from({ length: ENGINES }, (_unused, index) => `${network}.1.${index + 1}:8000`);
    const services = Array.from({ length: SERVICES }, (_unused, index) => `${network}.2.${index + 1}:8080`);
    const { rules: _rules, ...inventory } = createInventory(plan, { engines, services });
    const zones = plan.zones.map((zone, index) => `${zone}: ${Math.floor((7 + 2 - index) / 3)}`).join(", ");
    const note =
        `# ${title}: inventory.\n# 7 instances serve this deployment (${zones}). The API key of account NAME is "key-of-NAME".\n`;
    await writeFile(`examples/${folder}/inventory.yaml`, note + stringify(inventory));
    const [, zone = ""] = plan.zones;
    const rules = [
        { name: "urgent-service-calls", action: "prioritize", kind: plan.idempotentKind, priority: 0 },
        { name: "recalled-batch", action: "withdraw", batch: "batch-4" },
        { name: "planned-works", action: "drain", zone, model: plan.models[0] },
    ];
    await writeFile(
        `examples/${folder}/rules.yaml`,
        `# ${title}: example rules.\n${stringify({ rules })}`,
    );
}

await writeExample("bagmati", { plan: BAGMATI, title: "Tapkhana Furnace Log Router Fleet", network: "10.10" });
await writeExample("signalis", { plan: SIGNALIS, title: "Signal Timing Assistant Router Hand-over", network: "10.20" });
