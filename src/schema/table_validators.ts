/** Validator generated from schema/table.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Edit","description":"One edit of the table; all its changes are applied, or none.","type":"object","additionalProperties":false,"required":["operation","actor","changes"],"properties":{"operation":{"description":"Id that a resend repeats, so that the edit is applied once.","type":"string","minLength":1,"maxLength":64},"actor":{"description":"Name of the operator.","type":"string","minLength":1,"maxLength":64},"changes":{"type":"array","minItems":1,"maxItems":4000,"items":{"$ref":"#/$defs/Change"}}},"$defs":{"CellValue":{"title":"CellValue","type":["number","string","boolean"]},"Change":{"title":"Change","description":"New value of one cell, made from one version of it.","type":"object","additionalProperties":false,"required":["row","column","version","value"],"properties":{"row":{"type":"string","pattern":"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"},"column":{"$ref":"#/$defs/Column"},"version":{"description":"Revision that last changed the cell; 0 when it is empty.","type":"integer","minimum":0},"value":{"description":"Null empties the cell.","anyOf":[{"$ref":"#/$defs/CellValue"},{"type":"null"}]}}},"Column":{"title":"Column","description":"weight: share under contention (1 when empty). rate: requests a second.\nconcurrency: requests in flight. deadline: most milliseconds.\npriority: 0 to 9, passed on to engines. spend: share of extra cost that\nmay be spent on attainment, 0 to 1. tokenHash: SHA-256 of the account's\nbearer token, hex. model, adapter, version, role, replicas: desired state\nof a service's engines.\n","enum":["weight","rate","concurrency","deadline","priority","spend","tokenHash","model","adapter","version","role","replicas"]},"Cell":{"title":"Cell","type":"object","additionalProperties":false,"required":["value","version"],"properties":{"value":{"$ref":"#/$defs/CellValue"},"version":{"type":"integer","minimum":1}}}}};
const schema32 = {"title":"Change","description":"New value of one cell, made from one version of it.","type":"object","additionalProperties":false,"required":["row","column","version","value"],"properties":{"row":{"type":"string","pattern":"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"},"column":{"$ref":"#/$defs/Column"},"version":{"description":"Revision that last changed the cell; 0 when it is empty.","type":"integer","minimum":0},"value":{"description":"Null empties the cell.","anyOf":[{"$ref":"#/$defs/CellValue"},{"type":"null"}]}}};
const schema33 = {"title":"Column","description":"weight: share under contention (1 when empty). rate: requests a second.\nconcurrency: requests in flight. deadline: most milliseconds.\npriority: 0 to 9, passed on to engines. spend: share of extra cost that\nmay be spent on attainment, 0 to 1. tokenHash: SHA-256 of the account's\nbearer token, hex. model, adapter, version, role, replicas: desired state\nof a service's engines.\n","enum":["weight","rate","concurrency","deadline","priority","spend","tokenHash","model","adapter","version","role","replicas"]};
const schema34 = {"title":"CellValue","type":["number","string","boolean"]};
const pattern4 = new RegExp("^(account|kind|service)/[a-z0-9][a-z0-9.-]*$", "u");

function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.row === undefined) && (missing0 = "row")) || ((data.column === undefined) && (missing0 = "column"))) || ((data.version === undefined) && (missing0 = "version"))) || ((data.value === undefined) && (missing0 = "value"))){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((key0 === "row") || (key0 === "column")) || (key0 === "version")) || (key0 === "value"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.row !== undefined){
let data0 = data.row;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate21.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/pattern",keyword:"pattern",params:{pattern: "^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$",parentSchema:schema32.properties.row,data:data0}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/row",schemaPath:"#/properties/row/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.row.type,parentSchema:schema32.properties.row,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.column !== undefined){
let data1 = data.column;
const _errs4 = errors;
if(!((((((((((((data1 === "weight") || (data1 === "rate")) || (data1 === "concurrency")) || (data1 === "deadline")) || (data1 === "priority")) || (data1 === "spend")) || (data1 === "tokenHash")) || (data1 === "model")) || (data1 === "adapter")) || (data1 === "version")) || (data1 === "role")) || (data1 === "replicas"))){
validate21.errors = [{instancePath:instancePath+"/column",schemaPath:"#/$defs/Column/enum",keyword:"enum",params:{allowedValues: schema33.enum},message:"must be equal to one of the allowed values",schema:schema33.enum,parentSchema:schema33,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.version !== undefined){
let data2 = data.version;
const _errs6 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate21.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.version.type,parentSchema:schema32.properties.version,data:data2}];
return false;
}
if(errors === _errs6){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 0 || isNaN(data2)){
validate21.errors = [{instancePath:instancePath+"/version",schemaPath:"#/properties/version/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema32.properties.version,data:data2}];
return false;
}
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.value !== undefined){
let data3 = data.value;
const _errs8 = errors;
const _errs9 = errors;
let valid2 = false;
const _errs10 = errors;
if(((!((typeof data3 == "number") && (isFinite(data3)))) && (typeof data3 !== "string")) && (typeof data3 !== "boolean")){
const err0 = {instancePath:instancePath+"/value",schemaPath:"#/$defs/CellValue/type",keyword:"type",params:{type: schema34.type},message:"must be number,string,boolean",schema:schema34.type,parentSchema:schema34,data:data3};
if(vErrors === null){
vErrors = [err0];
}
else {
vErrors.push(err0);
}
errors++;
}
var _valid0 = _errs10 === errors;
valid2 = valid2 || _valid0;
const _errs13 = errors;
if(data3 !== null){
const err1 = {instancePath:instancePath+"/value",schemaPath:"#/properties/value/anyOf/1/type",keyword:"type",params:{type: "null"},message:"must be null",schema:schema32.properties.value.anyOf[1].type,parentSchema:schema32.properties.value.anyOf[1],data:data3};
if(vErrors === null){
vErrors = [err1];
}
else {
vErrors.push(err1);
}
errors++;
}
var _valid0 = _errs13 === errors;
valid2 = valid2 || _valid0;
if(!valid2){
const err2 = {instancePath:instancePath+"/value",schemaPath:"#/properties/value/anyOf",keyword:"anyOf",params:{},message:"must match a schema in anyOf",schema:schema32.properties.value.anyOf,parentSchema:schema32.properties.value,data:data3};
if(vErrors === null){
vErrors = [err2];
}
else {
vErrors.push(err2);
}
errors++;
validate21.errors = vErrors;
return false;
}
else {
errors = _errs9;
if(vErrors !== null){
if(_errs9){
vErrors.length = _errs9;
}
else {
vErrors = null;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.operation === undefined) && (missing0 = "operation")) || ((data.actor === undefined) && (missing0 = "actor"))) || ((data.changes === undefined) && (missing0 = "changes"))){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "operation") || (key0 === "actor")) || (key0 === "changes"))){
validate20.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema31,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.operation !== undefined){
let data0 = data.operation;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length > 64){
validate20.errors = [{instancePath:instancePath+"/operation",schemaPath:"#/properties/operation/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema31.properties.operation,data:data0}];
return false;
}
else {
if(data0.length < 1){
validate20.errors = [{instancePath:instancePath+"/operation",schemaPath:"#/properties/operation/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema31.properties.operation,data:data0}];
return false;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/operation",schemaPath:"#/properties/operation/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.operation.type,parentSchema:schema31.properties.operation,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.actor !== undefined){
let data1 = data.actor;
const _errs4 = errors;
if(errors === _errs4){
if(typeof data1 === "string"){
if(data1.length > 64){
validate20.errors = [{instancePath:instancePath+"/actor",schemaPath:"#/properties/actor/maxLength",keyword:"maxLength",params:{limit: 64},message:"must NOT have more than 64 characters",schema:64,parentSchema:schema31.properties.actor,data:data1}];
return false;
}
else {
if(data1.length < 1){
validate20.errors = [{instancePath:instancePath+"/actor",schemaPath:"#/properties/actor/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema31.properties.actor,data:data1}];
return false;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/actor",schemaPath:"#/properties/actor/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.actor.type,parentSchema:schema31.properties.actor,data:data1}];
return false;
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.changes !== undefined){
let data2 = data.changes;
const _errs6 = errors;
if(errors === _errs6){
if(Array.isArray(data2)){
if(data2.length > 4000){
validate20.errors = [{instancePath:instancePath+"/changes",schemaPath:"#/properties/changes/maxItems",keyword:"maxItems",params:{limit: 4000},message:"must NOT have more than 4000 items",schema:4000,parentSchema:schema31.properties.changes,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate20.errors = [{instancePath:instancePath+"/changes",schemaPath:"#/properties/changes/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema31.properties.changes,data:data2}];
return false;
}
else {
var valid1 = true;
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
const _errs8 = errors;
if(!(validate21(data2[i0], {instancePath:instancePath+"/changes/" + i0,parentData:data2,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var valid1 = _errs8 === errors;
if(!valid1){
break;
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/changes",schemaPath:"#/properties/changes/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.changes.type,parentSchema:schema31.properties.changes,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
return errors === 0;
}
validate20.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

