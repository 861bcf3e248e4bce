#include <ospreystage/app/console_page.hpp>

namespace ospreystage {

namespace {

constexpr std::string_view page = R"html(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>ospreystage console</title>
<style>
body { font: 14px sans-serif; margin: 1.5rem; max-width: 76rem; }
fieldset { margin: 0 0 1rem; }
table { border-collapse: collapse; width: 100%; }
th { text-align: left; font-weight: normal; color: #555; }
td input, td select { width: 95%; }
pre { background: #f4f4f4; padding: .6rem; overflow: auto; max-height: 22rem; }
.columns { display: grid; grid-template-columns: 1fr 1fr; gap: 1rem; }
#problems li { color: #a00; }
#result { font-weight: bold; }
</style>
</head>
<body>
<h1>Rollout</h1>
<p>
<label>Operator's token <input id="token" type="password"></label>
<button id="load">Load the document in force</button>
<span id="in-force"></span>
</p>
<form id="forms" onsubmit="return false"></form>
<p>
<button id="check">Check the draft</button>
<button id="accept">Accept the draft</button>
<button id="resolve" hidden>Ask again for the outcome</button>
<span id="result"></span>
</p>
<div class="columns">
<section><h2>What blocks acceptance</h2><ul id="problems"></ul>
<h2>Difference to the document in force</h2><pre id="difference"></pre></section>
<section><h2>Draft</h2><pre id="draft"></pre></section>
</div>
<h2>Document in force</h2><pre id="document"></pre>
<script>
"use strict";
const list = { read: t => t.split(",").map(s => s.trim()).filter(s => s),
               show: v => (v || []).join(", ") };
const text = { read: t => t, show: v => v === undefined ? "" : v };
const whole = { read: t => Number(t), show: v => v === undefined ? 0 : v };
const traffic = {
  read: t => list.read(t).map(s => {
    const [organisation, percent] = s.split("=");
    return { organisation, percent: Number(percent) };
  }),
  show: v => (v || []).map(r => r.organisation + "=" + r.percent).join(", ")
};
const sections = {
  services: { name: text, kind: text, vms: list, non_idempotent_routes: list },
  deployments: { name: text, service: text, base: text, version: text,
                 priority: whole, vms: list, traffic: traffic },
  organisations: { name: text, weight: whole, requests_per_second: whole,
                   burst: whole },
  classes: { name: text, first_token_ms: whole, deadline_ms: whole,
             priority: whole }
};
let current = null;
let operation = null;
const at = id => document.getElementById(id);
const pretty = value => JSON.stringify(value, null, 2);

async function call(method, path, body) {
  const answer = await fetch("/admin/v1/rollout" + path, {
    method, headers: { "Authorization": "Bearer " + at("token").value,
                       "Content-Type": "application/json" },
    body: body === undefined ? undefined : JSON.stringify(body) });
  return { status: answer.status, body: await answer.json() };
}

function addRow(section, value) {
  const row = document.createElement("tr");
  for (const field of Object.keys(sections[section])) {
    const cell = document.createElement("td");
    const input = document.createElement("input");
    input.name = field;
    input.value = sections[section][field].show(value[field]);
    input.oninput = showDraft;
    cell.append(input);
    row.append(cell);
  }
  const remove = document.createElement("button");
  remove.textContent = "Remove";
  remove.onclick = () => { row.remove(); showDraft(); };
  row.append(remove);
  at(section).append(row);
}

function buildForms(rollout) {
  at("forms").replaceChildren();
  for (const section of Object.keys(sections)) {
    const set = document.createElement("fieldset");
    const heads = Object.keys(sections[section])
      .map(field => "<th>" + field + "</th>").join("");
    set.innerHTML = "<legend>" + section + "</legend><table><thead><tr>" +
      heads + "</tr></thead><tbody id='" + section + "'></tbody></table>";
    const add = document.createElement("button");
    add.textContent = "Add";
    add.onclick = () => { addRow(section, {}); showDraft(); };
    set.append(add);
    at("forms").append(set);
    for (const value of rollout[section] || []) addRow(section, value);
  }
  showDraft();
}

function draft() {
  const value = { schema: "ospreystage/rollout/v1",
                  based_on: current ? current.revision : 0 };
  for (const section of Object.keys(sections))
    value[section] = [...at(section).rows].map(row => {
      const entry = {};
      for (const input of row.querySelectorAll("input"))
        entry[input.name] = sections[section][input.name].read(input.value);
      return entry;
    });
  return value;
}

function showDraft() { at("draft").textContent = pretty(draft()); }

async function load() {
  const answer = await call("GET", "");
  if (answer.status !== 200 && answer.status !== 404) {
    at("result").textContent = pretty(answer.body);
    return;
  }
  current = answer.status === 200 ? answer.body : { revision: 0 };
  at("in-force").textContent = "revision " + current.revision;
  at("document").textContent = pretty(current);
  buildForms(current);
}

async function check() {
  const problems = await call("POST", "/validate", draft());
  at("problems").replaceChildren(...(problems.body.problems || []).map(p => {
    const item = document.createElement("li");
    item.textContent = p.field + ": " + p.message;
    return item;
  }));
  const difference = await call("POST", "/diff", draft());
  at("difference").textContent = pretty(difference.body.changes || []);
}

function showOutcome(answer) {
  at("result").textContent = pretty(answer.body);
  at("resolve").hidden = answer.status !== 202;
  if (answer.status === 200) load();
}

at("load").onclick = load;
at("check").onclick = check;
at("accept").onclick = async () => {
  await check();
  operation = "console-" + Date.now() + "-" + Math.random().toString(36).slice(2);
  showOutcome(await call("POST", "", { operation_id: operation,
                                       document: draft() }));
};
at("resolve").onclick = async () =>
  showOutcome(await call("GET", "/operations/" + operation +
                             "?based_on=" + current.revision));
buildForms({});
</script>
</body>
</html>
)html";

} // namespace

std::string_view console_page() noexcept {
    return page;
}

} // namespace ospreystage
