/** Validator generated from schema/orders.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Report","description":"What an engine has loaded; answer to GET /v1/orders.","type":"object","required":["models","loading"],"properties":{"models":{"type":"array","maxItems":1000,"items":{"$ref":"#/$defs/LoadedModel"}},"role":{"type":"string"},"token":{"description":"Highest fencing token seen, where the engine keeps one.","type":["integer","null"]},"loading":{"description":"Whether a load is under way.","type":"boolean"}},"$defs":{"LoadedModel":{"title":"LoadedModel","type":"object","required":["model"],"properties":{"model":{"type":"string"},"adapter":{"type":["string","null"]},"version":{"type":["string","null"]}}},"Order":{"title":"Order","oneOf":[{"$ref":"#/$defs/ModelOrder"},{"$ref":"#/$defs/RoleOrder"}]},"ModelOrder":{"title":"ModelOrder","type":"object","additionalProperties":false,"required":["type","model"],"properties":{"type":{"enum":["load","unload"]},"model":{"type":"string"},"adapter":{"type":"string"},"version":{"type":"string"}}},"RoleOrder":{"title":"RoleOrder","type":"object","additionalProperties":false,"required":["type","role"],"properties":{"type":{"type":"string","const":"role"},"role":{"type":"string"}}}}};
const schema32 = {"title":"LoadedModel","type":"object","required":["model"],"properties":{"model":{"type":"string"},"adapter":{"type":["string","null"]},"version":{"type":["string","null"]}}};

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
if(((data.models === undefined) && (missing0 = "models")) || ((data.loading === undefined) && (missing0 = "loading"))){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
if(data.models !== undefined){
let data0 = data.models;
const _errs1 = errors;
if(errors === _errs1){
if(Array.isArray(data0)){
if(data0.length > 1000){
validate20.errors = [{instancePath:instancePath+"/models",schemaPath:"#/properties/models/maxItems",keyword:"maxItems",params:{limit: 1000},message:"must NOT have more than 1000 items",schema:1000,parentSchema:schema31.properties.models,data:data0}];
return false;
}
else {
var valid1 = true;
const len0 = data0.length;
for(let i0=0; i0<len0; i0++){
let data1 = data0[i0];
const _errs3 = errors;
const _errs4 = errors;
if(errors === _errs4){
if(data1 && typeof data1 == "object" && !Array.isArray(data1)){
let missing1;
if((data1.model === undefined) && (missing1 = "model")){
validate20.errors = [{instancePath:instancePath+"/models/" + i0,schemaPath:"#/$defs/LoadedModel/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema32.required,parentSchema:schema32,data:data1}];
return false;
}
else {
if(data1.model !== undefined){
let data2 = data1.model;
const _errs6 = errors;
if(typeof data2 !== "string"){
validate20.errors = [{instancePath:instancePath+"/models/" + i0+"/model",schemaPath:"#/$defs/LoadedModel/properties/model/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.model.type,parentSchema:schema32.properties.model,data:data2}];
return false;
}
var valid3 = _errs6 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data1.adapter !== undefined){
let data3 = data1.adapter;
const _errs8 = errors;
if((typeof data3 !== "string") && (data3 !== null)){
validate20.errors = [{instancePath:instancePath+"/models/" + i0+"/adapter",schemaPath:"#/$defs/LoadedModel/properties/adapter/type",keyword:"type",params:{type: schema32.properties.adapter.type},message:"must be string,null",schema:schema32.properties.adapter.type,parentSchema:schema32.properties.adapter,data:data3}];
return false;
}
var valid3 = _errs8 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data1.version !== undefined){
let data4 = data1.version;
const _errs10 = errors;
if((typeof data4 !== "string") && (data4 !== null)){
validate20.errors = [{instancePath:instancePath+"/models/" + i0+"/version",schemaPath:"#/$defs/LoadedModel/properties/version/type",keyword:"type",params:{type: schema32.properties.version.type},message:"must be string,null",schema:schema32.properties.version.type,parentSchema:schema32.properties.version,data:data4}];
return false;
}
var valid3 = _errs10 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/models/" + i0,schemaPath:"#/$defs/LoadedModel/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data:data1}];
return false;
}
}
var valid1 = _errs3 === errors;
if(!valid1){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/models",schemaPath:"#/properties/models/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.models.type,parentSchema:schema31.properties.models,data:data0}];
return false;
}
}
var valid0 = _errs1 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.role !== undefined){
let data5 = data.role;
const _errs12 = errors;
if(typeof data5 !== "string"){
validate20.errors = [{instancePath:instancePath+"/role",schemaPath:"#/properties/role/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.role.type,parentSchema:schema31.properties.role,data:data5}];
return false;
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.token !== undefined){
let data6 = data.token;
const _errs14 = errors;
if((!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))) && (data6 !== null)){
validate20.errors = [{instancePath:instancePath+"/token",schemaPath:"#/properties/token/type",keyword:"type",params:{type: schema31.properties.token.type},message:"must be integer,null",schema:schema31.properties.token.type,parentSchema:schema31.properties.token,data:data6}];
return false;
}
var valid0 = _errs14 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.loading !== undefined){
let data7 = data.loading;
const _errs16 = errors;
if(typeof data7 !== "boolean"){
validate20.errors = [{instancePath:instancePath+"/loading",schemaPath:"#/properties/loading/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema31.properties.loading.type,parentSchema:schema31.properties.loading,data:data7}];
return false;
}
var valid0 = _errs16 === errors;
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
validate20.evaluated = {"props":{"models":true,"role":true,"token":true,"loading":true},"dynamicProps":false,"dynamicItems":false};

