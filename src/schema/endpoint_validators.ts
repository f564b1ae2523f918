/** Validator generated from schema/endpoint.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Announcement","description":"What an endpoint says of itself when it announces or renews.","type":"object","additionalProperties":false,"required":["service","kind","url","dataCentre"],"properties":{"service":{"description":"Name of the service that the endpoint serves.","type":"string","minLength":1},"kind":{"$ref":"#/$defs/EndpointKind"},"url":{"description":"Base URL, without a final slash.","type":"string","pattern":"^https?://"},"dataCentre":{"type":"string","minLength":1},"slots":{"description":"Calls it runs side by side.","type":"integer","minimum":1},"fencing":{"description":"Whether it refuses an order with an old fencing token.","enum":["checks","ignores","unknown"]},"role":{"$ref":"#/$defs/EngineRole"},"models":{"type":"array","items":{"type":"string"}},"state":{"description":"A draining endpoint finishes its calls and takes no new one.","enum":["ready","draining"]},"incarnation":{"description":"Grows with each start of the endpoint.","type":"integer","minimum":0}},"$defs":{"EndpointKind":{"title":"EndpointKind","description":"Chooses the handler that talks to the endpoint.","enum":["engine","encoder","retriever","reranker","plain"]},"EngineRole":{"title":"EngineRole","description":"Part of generation that an engine takes.","enum":["both","prefill","decode"]}}};
const schema32 = {"title":"EndpointKind","description":"Chooses the handler that talks to the endpoint.","enum":["engine","encoder","retriever","reranker","plain"]};
const schema33 = {"title":"EngineRole","description":"Part of generation that an engine takes.","enum":["both","prefill","decode"]};
const func1 = Object.prototype.hasOwnProperty;
const pattern4 = new RegExp("^https?://", "u");

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
if(((((data.service === undefined) && (missing0 = "service")) || ((data.kind === undefined) && (missing0 = "kind"))) || ((data.url === undefined) && (missing0 = "url"))) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(func1.call(schema31.properties, key0))){
validate20.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema31,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.service !== undefined){
let data0 = data.service;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length < 1){
validate20.errors = [{instancePath:instancePath+"/service",schemaPath:"#/properties/service/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema31.properties.service,data:data0}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/service",schemaPath:"#/properties/service/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.service.type,parentSchema:schema31.properties.service,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.kind !== undefined){
let data1 = data.kind;
const _errs4 = errors;
if(!(((((data1 === "engine") || (data1 === "encoder")) || (data1 === "retriever")) || (data1 === "reranker")) || (data1 === "plain"))){
validate20.errors = [{instancePath:instancePath+"/kind",schemaPath:"#/$defs/EndpointKind/enum",keyword:"enum",params:{allowedValues: schema32.enum},message:"must be equal to one of the allowed values",schema:schema32.enum,parentSchema:schema32,data:data1}];
return false;
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.url !== undefined){
let data2 = data.url;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(!pattern4.test(data2)){
validate20.errors = [{instancePath:instancePath+"/url",schemaPath:"#/properties/url/pattern",keyword:"pattern",params:{pattern: "^https?://"},message:"must match pattern \""+"^https?://"+"\"",schema:"^https?://",parentSchema:schema31.properties.url,data:data2}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/url",schemaPath:"#/properties/url/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.url.type,parentSchema:schema31.properties.url,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data3 = data.dataCentre;
const _errs8 = errors;
if(errors === _errs8){
if(typeof data3 === "string"){
if(data3.length < 1){
validate20.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/properties/dataCentre/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema31.properties.dataCentre,data:data3}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/properties/dataCentre/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.dataCentre.type,parentSchema:schema31.properties.dataCentre,data:data3}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slots !== undefined){
let data4 = data.slots;
const _errs10 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate20.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.slots.type,parentSchema:schema31.properties.slots,data:data4}];
return false;
}
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 1 || isNaN(data4)){
validate20.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema31.properties.slots,data:data4}];
return false;
}
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fencing !== undefined){
let data5 = data.fencing;
const _errs12 = errors;
if(!(((data5 === "checks") || (data5 === "ignores")) || (data5 === "unknown"))){
validate20.errors = [{instancePath:instancePath+"/fencing",schemaPath:"#/properties/fencing/enum",keyword:"enum",params:{allowedValues: schema31.properties.fencing.enum},message:"must be equal to one of the allowed values",schema:schema31.properties.fencing.enum,parentSchema:schema31.properties.fencing,data:data5}];
return false;
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.role !== undefined){
let data6 = data.role;
const _errs13 = errors;
if(!(((data6 === "both") || (data6 === "prefill")) || (data6 === "decode"))){
validate20.errors = [{instancePath:instancePath+"/role",schemaPath:"#/$defs/EngineRole/enum",keyword:"enum",params:{allowedValues: schema33.enum},message:"must be equal to one of the allowed values",schema:schema33.enum,parentSchema:schema33,data:data6}];
return false;
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.models !== undefined){
let data7 = data.models;
const _errs15 = errors;
if(errors === _errs15){
if(Array.isArray(data7)){
var valid3 = true;
const len0 = data7.length;
for(let i0=0; i0<len0; i0++){
let data8 = data7[i0];
const _errs17 = errors;
if(typeof data8 !== "string"){
validate20.errors = [{instancePath:instancePath+"/models/" + i0,schemaPath:"#/properties/models/items/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.models.items.type,parentSchema:schema31.properties.models.items,data:data8}];
return false;
}
var valid3 = _errs17 === errors;
if(!valid3){
break;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/models",schemaPath:"#/properties/models/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.models.type,parentSchema:schema31.properties.models,data:data7}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.state !== undefined){
let data9 = data.state;
const _errs19 = errors;
if(!((data9 === "ready") || (data9 === "draining"))){
validate20.errors = [{instancePath:instancePath+"/state",schemaPath:"#/properties/state/enum",keyword:"enum",params:{allowedValues: schema31.properties.state.enum},message:"must be equal to one of the allowed values",schema:schema31.properties.state.enum,parentSchema:schema31.properties.state,data:data9}];
return false;
}
var valid0 = _errs19 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.incarnation !== undefined){
let data10 = data.incarnation;
const _errs20 = errors;
if(!(((typeof data10 == "number") && (!(data10 % 1) && !isNaN(data10))) && (isFinite(data10)))){
validate20.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema31.properties.incarnation.type,parentSchema:schema31.properties.incarnation,data:data10}];
return false;
}
if(errors === _errs20){
if((typeof data10 == "number") && (isFinite(data10))){
if(data10 < 0 || isNaN(data10)){
validate20.errors = [{instancePath:instancePath+"/incarnation",schemaPath:"#/properties/incarnation/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema31.properties.incarnation,data:data10}];
return false;
}
}
}
var valid0 = _errs20 === errors;
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

